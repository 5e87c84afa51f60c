// Another writer announces an unknown service at the address of a backend; then the backend drains.

#include "../harness.h"

namespace {

using namespace review;

constexpr double drainS = 2.5;
constexpr double observeS = 5;

int play()
{
    deployment fleet(5, 3);
    fleet.start();
    if (!fleet.configure(manifest("unsafe", 4'000), 20))
        return couldNotRun;
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < zones().size(); ++i)
        backends.push_back(std::make_unique<backend>(fleet, i, "i-" + std::to_string(i + 1), 400));
    pause(3);
    clients load(fleet, "POST", 60);
    pause(3);
    backend &leaving = *backends.front();
    if (withTrouble()) {
        const std::string body = heartbeatBody(leaving.where().text(), "svc-elsewhere",
                                               leaving.zoneName(), "ready", unixMs(), 1);
        record("another writer sends " + body, true);
        const reply answer = call(fleet.control(1), "PUT", "/v1/instances/i-elsewhere",
                                  {{"Content-Type", "application/json"}}, body, 1);
        record("another writer gets " + std::to_string(answer.status), true);
    }
    pause(3);
    leaving.setDraining();
    if (!leaving.announce())
        return couldNotRun;
    const double from = seconds() + drainS + 0.5;
    pause(from + observeS - seconds());
    const std::size_t late = leaving.runsBetween(from, from + observeS);
    record("requests that reached " + leaving.id() + " between " + std::to_string(from) + " s and "
               + std::to_string(from + observeS) + " s: " + std::to_string(late),
           true);
    leaving.exit();
    pause(1);
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
