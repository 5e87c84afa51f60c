// A control host is frozen while an operator withdraws an evacuation and orders it anew.

#include "../harness.h"

namespace {

using namespace review;

constexpr double evacuateS = 5;
constexpr double maxStretchS = 5;
constexpr double contactS = 3;
constexpr double freezeS = 4;
constexpr double observeS = 15;

int play()
{
    deployment fleet(5, 3);
    fleet.start();
    if (!fleet.configure(manifest("safe", 4'000), 20))
        return couldNotRun;
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < zones().size(); ++i)
        backends.push_back(std::make_unique<backend>(fleet, i, "i-" + std::to_string(i + 1), 60));
    pause(3);
    clients load(fleet, "GET", 30);
    pause(3);
    const std::size_t leader = fleet.leader();
    if (leader == fleet.controls().size())
        return couldNotRun;
    const std::size_t frozen = (leader + 1) % fleet.controls().size();
    backend &emptied = *backends.front();
    const std::string path = "/v1/evacuations/" + emptied.zoneName();
    if (order(fleet, "POST", path, frozen + 1, 5) < 0)
        return couldNotRun;
    pause(4);
    process &host = *fleet.controls()[frozen].program;
    if (withTrouble()) {
        record(host.name() + " is frozen", true);
        host.signal(SIGSTOP);
    }
    const double thaw = seconds() + freezeS;
    // The operator picks a host; the one that it picks here does not answer while it is frozen.
    if (order(fleet, "DELETE", path, frozen, 5) < 0)
        return couldNotRun;
    pause(1);
    const double acknowledged = order(fleet, "POST", path, frozen + 1, 5);
    if (acknowledged < 0)
        return couldNotRun;
    pause(thaw - seconds());
    if (withTrouble()) {
        host.signal(SIGCONT);
        record(host.name() + " runs again", true);
    }
    const double from = std::max(acknowledged + evacuateS + maxStretchS, thaw + contactS) + 0.5;
    pause(from + observeS - seconds());
    const std::size_t late = emptied.runsBetween(from, from + observeS);
    record("requests that reached a backend of " + emptied.zoneName() + " between "
               + std::to_string(from) + " s and " + std::to_string(from + observeS)
               + " s: " + std::to_string(late),
           true);
    for (const auto &[status, count] : load.statuses())
        record("answers with status " + std::to_string(status) + ": " + std::to_string(count),
               true);
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main()
{
    return review::runScript(play);
}
