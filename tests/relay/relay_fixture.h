#pragma once

#include "kingcuptiller/relay/request_relay.h"

#include "kingcuptiller/transport/system_clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kingcuptiller {

namespace asio = boost::asio;

// A complete response to a request of `relay_fixture` with the default id.
inline const std::string completeResponse =
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

// Runs a request relay and its traffic server in a separate thread, on loopback, with the given
// upstreams.
class relay_fixture
{
public:
    // Ports of the upstreams, by upstream id.
    using upstream_ports = std::map<std::string, std::uint16_t>;

    explicit relay_fixture(std::uint16_t upstreamPort, std::uint64_t bodyLimit = 1'000)
        : relay_fixture(std::vector<std::uint16_t>{upstreamPort}, bodyLimit)
    {
    }

    // The relay tries the upstreams in the given order. `attempts` is the maximum number of
    // attempts of each route.
    explicit relay_fixture(
        const std::vector<std::uint16_t> &upstreamPorts, std::uint64_t bodyLimit = 1'000,
        std::uint32_t attempts = 2,
        std::uint64_t heldResponseBytes = relay_options().maximumHeldResponseBytes)
        : m_work(asio::make_work_guard(m_context))
        , m_relay(m_context, options(heldResponseBytes), m_counters)
        , m_server(
              m_context, parseTcpEndpoint("127.0.0.1:0"),
              [this](const relay_request &request, client_disconnect_signal &client) {
                  return m_relay.handle(request, client);
              },
              [this] { return m_relay.limits(); }, nullptr, server_capacity(),
              [this](const request_head &head) { return m_relay.streamsBody(head); })
    {
        traffic_configuration &configuration = m_configuration;
        configuration.version = revision_number(1);
        configuration.limits.bodyBytes = bodyLimit;
        configuration.services = {{service_name("s"), 390, milliseconds(0), 0},
                                  {service_name("absent"), 390, milliseconds(0), 0}};
        for (const std::string name : {"reads", "writes", "halves", "uploads"}) {
            traffic_route route;
            route.name = name;
            route.host = "a.example";
            route.pathPrefix = "/" + route.name + "/";
            route.idempotent = name == "reads";
            route.timeout = milliseconds(60'000);
            route.weightedServices = {{service_name("s"), 1}};
            route.streamsBodies = name == "uploads";
            if (name == "halves")
                route.weightedServices.push_back({service_name("absent"), 1});
            route.maximumAttempts = attempts;
            configuration.routes.push_back(route);
        }
        upstream_ports upstreams;
        for (const std::uint16_t port : upstreamPorts)
            upstreams.emplace("u" + std::string(upstreams.size(), 'x'), port);
        m_view = makeFleetView(upstreams);
        m_relay.update(m_view, configuration);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~relay_fixture()
    {
        m_context.stop();
        m_thread.join();
    }
    relay_fixture(const relay_fixture &) = delete;
    relay_fixture &operator=(const relay_fixture &) = delete;

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_clientContext);
        socket.connect(m_server.address());
        return socket;
    }

    // Sends `bytes` on a new connection and returns everything received until the relay closes it.
    std::string sendAndReadAll(const std::string &bytes)
    {
        asio::ip::tcp::socket socket = connect();
        asio::write(socket, asio::buffer(bytes));
        std::string response;
        boost::system::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(response), ignored);
        return response;
    }

    // Gives the relay a fleet view with only these upstreams.
    void updateUpstreams(const upstream_ports &upstreams)
    {
        asio::post(m_context,
                   [this, upstreams] { m_relay.update(makeFleetView(upstreams), std::nullopt); });
    }

    // Changes the configuration, as a new version. Returns when the relay has applied it.
    void reconfigure(const std::function<void(traffic_configuration &)> &change)
    {
        std::promise<void> applied;
        asio::post(m_context, [&] {
            change(m_configuration);
            m_configuration.version = m_configuration.version.next();
            m_relay.update(m_view, m_configuration);
            applied.set_value();
        });
        applied.get_future().wait();
    }

    // Gives the relay an answer of the leader to its latest request for credits.
    void replyWithCredits(const std::function<credit_reply(const credit_request &)> &answer)
    {
        std::promise<void> applied;
        asio::post(m_context, [&] {
            if (const auto request = m_relay.takeCreditRequest())
                m_relay.applyCreditReply(answer(*request));
            applied.set_value();
        });
        applied.get_future().wait();
    }

    // Tells the relay and its server that the process exits after this time. Returns when they know
    // it.
    void leave(milliseconds remaining)
    {
        std::promise<void> told;
        asio::post(m_context, [&] {
            m_relay.setProcessEnd(readInstant() + remaining);
            m_server.startLeaving(
                [this](const request_head &head) { return m_relay.rejectBeforeExit(head); });
            m_server.rejectUnfinishedRequests();
            told.set_value();
        });
        told.get_future().wait();
    }

    void runPeriodicTasks()
    {
        asio::post(m_context, [this] { m_relay.runPeriodicTasks(); });
    }

    // Returns a POST request for the route "reads", "writes" or "halves". The last one is not
    // idempotent and gives half of its requests to a service without upstreams. `remainingTime` is
    // sent as its remaining time. An empty `id` omits the request id.
    std::string makeRequest(const std::string &route,
                            milliseconds remainingTime = milliseconds(4'000),
                            const std::string &id = "7")
    {
        return "POST /" + route + "/1 HTTP/1.1\r\nHost: a.example\r\n"
            + (id.empty() ? "" : "X-Id: " + id + "\r\n")
            + "X-Time: " + std::to_string(remainingTime.count())
            + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    }

private:
    static fleet_view makeFleetView(const upstream_ports &upstreams)
    {
        fleet_view view;
        for (const auto &[id, port] : upstreams) {
            upstream_incarnation incarnation;
            incarnation.id = upstream_id(id);
            incarnation.address = endpoint_address("127.0.0.1:" + std::to_string(port));
            incarnation.service = service_name("s");
            incarnation.zone = zone_name("a");
            incarnation.slots = 4;
            view.upstreams.push_back(incarnation);
        }
        return view;
    }

    static relay_options options(std::uint64_t heldResponseBytes)
    {
        relay_options result;
        result.maximumHeldResponseBytes = heldResponseBytes;
        result.headers = {"X-Id",     "X-Time", "X-Object", "X-Upstream",  "X-Seal",
                          "X-NotRun", "X-Load", "X-Cold",   "Retry-After", "X-Leaving",
                          "X-Key",    "Token",  "X-Account"};
        result.choice.region = region_name("r");
        result.choice.zone = zone_name("a");
        result.choice.regions = {{zone_name("a"), region_name("r")}};
        result.now = readInstant;
        return result;
    }

    traffic_configuration m_configuration;
    fleet_view m_view;
    asio::io_context m_context;
    asio::io_context m_clientContext;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    counter_registry m_counters;
    request_relay m_relay;
    traffic_server m_server;
    std::thread m_thread;
};

inline std::string statusCodeOf(const std::string &response)
{
    return response.size() < 12 ? response : response.substr(9, 3);
}

} // namespace kingcuptiller
