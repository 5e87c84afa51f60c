#pragma once

#include "stand_in/announcer.h"
#include "stand_in/run_journal.h"
#include "stand_in/upstream_model.h"
#include "stand_in/upstream_options.h"

#include <cpprest/http_listener.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kingcuptiller::stand_in {

// A request that waits for a slot or is being run.
struct accepted_request
{
    web::http::http_request message;
    std::string body;
    request_key key;
    attempt_id attempt;
    std::optional<instant> deadline;
};

// What a stand-in upstream did so far.
struct upstream_tally
{
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    // Requests that arrived after it began to leave, and the time of the last of them since then.
    std::uint64_t whileLeaving = 0;
    milliseconds lastWhileLeaving{0};

    bool operator==(const upstream_tally &) const = default;
};

// A user's upstream as the system sees it. It serves and announces itself from its construction.
//
//     stand_in_upstream upstream(options);
//     ... SIGTERM ...
//     upstream.leave();    // announces leaving, finishes what it has, withdraws, returns
//
// Any path is work; POST and GET run, and DELETE with Kct-Attempt or Kct-Request-Key cancels a
// request that still waits. A request that is not run is answered with 503 and
// "Kct-Upstream-Result: shed".
class stand_in_upstream
{
public:
    // Throws when the address cannot be bound or the journal cannot be opened.
    explicit stand_in_upstream(upstream_options options);
    ~stand_in_upstream();
    stand_in_upstream(const stand_in_upstream &) = delete;
    stand_in_upstream &operator=(const stand_in_upstream &) = delete;

    // Returns when nothing is left to run and at least the drain time has passed.
    void leave();

    [[nodiscard]] upstream_tally tally() const;

private:
    void accept(accepted_request request);
    void cancel(const web::http::http_request &message);
    void runRequests();
    void run(const accepted_request &request);
    void shed(const accepted_request &request);
    void announceRegularly();
    [[nodiscard]] upstream_announcement announcement();

    const upstream_options m_options;
    const incarnation_id m_incarnation;
    run_journal m_journal;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    upstream_model m_model;
    std::deque<accepted_request> m_queue;
    std::uint32_t m_busy = 0;
    std::optional<instant> m_leavingSince;
    bool m_stopping = false;
    upstream_tally m_tally;

    announcer m_announcer;
    web::http::experimental::listener::http_listener m_listener;
    std::vector<std::thread> m_workers;
    std::thread m_announcing;
};

} // namespace kingcuptiller::stand_in
