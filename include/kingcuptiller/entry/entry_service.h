#pragma once

#include "kingcuptiller/settings/entry_settings.h"
#include "kingcuptiller/supervision/supervisor.h"

#include <memory>

namespace kingcuptiller {

// An entry host: the HTTP interface for clients and upstreams, the sync with control, and the
// threads behind them, as components of a supervisor.
//
//     entry_service service(settings);
//     supervisor root("entry", {});
//     service.addTo(root);
//     return supervise(root, {.terminationRequested = [&] { service.leave(); },
//                             .readyToStop = [&] { return service.mayStop(); }, ...});
//
// Threads: cpprest's pool serves HTTP and never blocks; one thread syncs every 200 ms; one runs
// timers every 5 ms; four send claims and two send settlements. Traffic threads read the state from
// control as an immutable snapshot.
class entry_service
{
public:
    explicit entry_service(const entry_settings &settings);
    // The supervisor has stopped the components before.
    ~entry_service();
    entry_service(const entry_service &) = delete;
    entry_service &operator=(const entry_service &) = delete;

    void addTo(supervisor &root);

    // Announces with the next syncs that this entry leaves. It keeps serving until clients no
    // longer look it up.
    void leave();

    // True when, after `leave`, the removal is in force everywhere, the lifetime of look-up answers
    // has passed and no request is open; also when control was never reached.
    [[nodiscard]] bool mayStop() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuptiller
