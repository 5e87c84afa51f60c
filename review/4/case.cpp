// A backend that has just started becomes cold again before it was warm.

#include "../harness.h"

namespace {

using namespace review;

constexpr double coldStartS = 3;
constexpr double coldAgainAfterS = 2;
constexpr double coldPerS = 8;
constexpr double coldMultiplier = 1.5;
constexpr double coldSlack = 5;
constexpr double requestsPerS = 180;
constexpr std::size_t mostPerSecond =
    static_cast<std::size_t>(coldPerS * coldMultiplier + coldSlack);

// The largest number of runs in any second between `from` and `to`.
std::size_t mostInOneSecond(backend &cold, double from, double to)
{
    std::size_t most = 0;
    const auto runs = cold.runs();
    for (std::size_t first = 0; first < runs.size(); ++first) {
        if (runs[first].at < from)
            continue;
        std::size_t last = first;
        while (last < runs.size() && runs[last].at < std::min(runs[first].at + 1, to))
            ++last;
        most = std::max(most, last - first);
    }
    return most;
}

int play()
{
    deployment fleet(5, 3);
    fleet.start();
    if (!fleet.configure(manifest("unsafe", 4'000), 20))
        return couldNotRun;
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < 3; ++i)
        backends.push_back(std::make_unique<backend>(fleet, i, "i-" + std::to_string(i + 1), 60));
    pause(4);
    clients load(fleet, "POST", requestsPerS);
    pause(4);
    // It starts during traffic, in the zone of the first entry.
    const double start = seconds();
    backend fresh(fleet, 6, "i-fresh", 60, coldStartS);
    double coldEnd = start + coldStartS;
    pause(start + coldAgainAfterS - seconds());
    if (withTrouble()) {
        coldEnd = seconds() + coldStartS;
        fresh.setColdUntil(coldEnd);
        record("i-fresh becomes cold again", true);
    }
    pause(coldEnd + 2 - seconds());
    const std::size_t most = mostInOneSecond(fresh, start, coldEnd);
    record("most requests in one second at i-fresh while it was cold: " + std::to_string(most)
               + ", the bound is " + std::to_string(mostPerSecond),
           true);
    for (const auto &[status, count] : load.statuses())
        record("answers with status " + std::to_string(status) + ": " + std::to_string(count),
               true);
    return most > mostPerSecond ? ruleBroken : ruleHeld;
}

} // namespace

int main()
{
    return review::runScript(play);
}
