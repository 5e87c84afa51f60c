#pragma once

#include "tests/platform/platform_processes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuptiller {

using text_request = boost::beast::http::request<boost::beast::http::string_body>;
using text_response = boost::beast::http::response<boost::beast::http::string_body>;

// Sends a request on a new connection. Returns nothing when there is no response within `limit`.
[[nodiscard]] std::optional<text_response> call(const tcp_endpoint &where, text_request request,
                                                std::chrono::milliseconds limit);

// A client's request, and the service whose upstream answered it; empty for any other end.
struct client_record
{
    std::chrono::steady_clock::time_point sentAt;
    std::string service;
};

// Stand-in upstreams and clients of a fleet, in one thread. Upstreams announce themselves and
// answer each request with the name of their service, after as many milliseconds as the query
// `work=` of its path says, or a few if it has none. Clients send requests, each on a new
// connection, to random entries out of those that are in use.
class stand_in_callers
{
public:
    // Each service gets `upstreamsEach` upstreams, which announce `slots` slots each.
    stand_in_callers(const platform_processes &fleet, const std::vector<std::string> &services,
                     std::size_t upstreamsEach, std::uint32_t seed, std::size_t slots = 8);
    ~stand_in_callers();
    stand_in_callers(const stand_in_callers &) = delete;
    stand_in_callers &operator=(const stand_in_callers &) = delete;

    // Starts clients that send requests to `host` and `path`, as many at a time as `clients`.
    void startClients(std::size_t clients, const std::string &host, const std::string &path);
    // Sets the entries that clients use.
    void setEntries(std::vector<std::size_t> entries);
    // The requests of clients that were sent from `from` on and have ended.
    [[nodiscard]] std::vector<client_record>
    recordsSince(std::chrono::steady_clock::time_point from) const;
    // The ids of the requests that upstreams have begun to run.
    [[nodiscard]] std::set<std::string> startedRequests() const;

private:
    using tcp = boost::asio::ip::tcp;
    struct stand_in_upstream
    {
        std::size_t number = 0;
        std::string id;
        std::string service;
        std::uint64_t sequence = 0;
    };

    [[nodiscard]] boost::asio::awaitable<void> accept(tcp::acceptor acceptor,
                                                      stand_in_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream,
                                                     stand_in_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<void> announce(stand_in_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<void> sendRequests(std::string host, std::string path);
    [[nodiscard]] tcp_endpoint pickEntry();

    const platform_processes &m_fleet;
    std::mt19937_64 m_random;
    std::size_t m_slots;
    std::vector<stand_in_upstream> m_upstreams;
    mutable std::mutex m_mutex;
    std::vector<std::size_t> m_entries;
    std::vector<client_record> m_records;
    std::set<std::string> m_startedRequests;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace kingcuptiller
