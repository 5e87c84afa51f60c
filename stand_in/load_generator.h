#pragma once

#include "stand_in/entry_finder.h"
#include "stand_in/load_options.h"
#include "stand_in/request_outcome.h"
#include "stand_in/timer_queue.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace web::http::client {
class http_client;
}

namespace kingcuptiller::stand_in {

// Sends requests as the clients of one place do. Requests start at random times whatever became of
// the earlier ones, so a slow system does not slow its load down.
class load_generator
{
public:
    explicit load_generator(load_options options);
    // Waits for the answers that are still on their way, which the time limit of a request bounds.
    ~load_generator();
    load_generator(const load_generator &) = delete;
    load_generator &operator=(const load_generator &) = delete;

    // Sends for the duration, waits for the rest for at most the settle time, and returns what
    // became of every request. Called once.
    [[nodiscard]] std::vector<request_outcome> run();

private:
    struct sent_request;
    using request_pointer = std::shared_ptr<sent_request>;

    void scheduleNext(std::size_t planIndex, instant time);
    void start(std::size_t planIndex);
    void send(const request_pointer &request);
    void receive(const request_pointer &request, const entry_answer &answer);
    void finish(const request_pointer &request);
    std::shared_ptr<web::http::client::http_client> clientOf(const endpoint_address &entry);
    double draw();

    const load_options m_options;
    entry_finder m_finder;
    instant m_end;
    // Only used by the timer's thread once it runs.
    std::mt19937_64 m_engine;
    std::uint64_t m_started = 0;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<web::http::client::http_client>> m_clients;
    std::map<request_key, request_pointer> m_pending;
    std::vector<request_outcome> m_outcomes;
    std::uint64_t m_onTheirWay = 0;
    bool m_closed = false;
    timer_queue m_timer;
};

} // namespace kingcuptiller::stand_in
