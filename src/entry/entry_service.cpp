#include "kingcuptiller/entry/entry_service.h"

#include "kingcuptiller/entry/ledger_client.h"
#include "kingcuptiller/supervision/process.h"
#include "kingcuptiller/transport/http_forwarder.h"
#include "kingcuptiller/transport/http_server.h"
#include "kingcuptiller/transport/system_clock.h"

#include "entry_routes.h"
#include "entry_state.h"
#include "sync_loop.h"

#include <fmt/format.h>

#include <atomic>
#include <random>
#include <thread>

namespace kingcuptiller {

namespace {

constexpr milliseconds timerInterval{5};
constexpr int claimThreads = 4;
constexpr int settlementThreads = 2;

std::string drawIncarnation()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

entry_identity identityOf(const entry_settings &settings)
{
    return {.host = settings.host,
            .incarnation = incarnation_id(drawIncarnation()),
            .address = settings.advertised,
            .region = settings.region,
            .zone = settings.zone};
}

dispatcher_settings dispatcherSettings(const entry_settings &settings)
{
    dispatcher_settings result;
    result.region = settings.region;
    result.zone = settings.zone;
    result.concurrency = settings.concurrency;
    result.queueLimit = settings.queueLength;
    constexpr double percent = 0.01;
    result.shiftCap = settings.shiftCapPercent * percent;
    result.warmUp = settings.warmUp;
    result.linkBytesPerSecond = settings.linkMegabits * 1e6 / 8;
    result.seed = std::random_device()();
    return result;
}

http_server::options serverOptions(const entry_settings &settings)
{
    const std::string &listen = settings.listen.text();
    const std::size_t colon = listen.rfind(':');
    return {.address = listen.substr(0, colon),
            .port = static_cast<std::uint16_t>(std::stoul(listen.substr(colon + 1))),
            .maximumBody = settings.requestBodyLimit,
            .certificateFile = settings.tlsCertificate,
            .keyFile = settings.tlsKey};
}

std::vector<endpoint_address> addressesOf(const std::vector<host_address> &hosts)
{
    std::vector<endpoint_address> addresses;
    addresses.reserve(hosts.size());
    for (const host_address &each : hosts)
        addresses.push_back(each.address);
    return addresses;
}

} // namespace

class entry_service::implementation
{
public:
    explicit implementation(const entry_settings &settings)
        : m_settings(settings)
        , m_ledger([this] { return openLink(); }, readInstant, m_state.counters)
        , m_routes(m_state, readInstant, readWallTime)
    {
        m_state.identity = identityOf(settings);
        m_state.lookupLifetime = settings.lookupLifetime;
        coordinator_settings chosen;
        chosen.identity = m_state.identity;
        chosen.maximumAnswer = settings.answerBodyLimit;
        chosen.lookupLifetime = settings.lookupLifetime;
        m_state.coordinator = std::make_shared<work_coordinator>(
            chosen, entry_dispatcher(dispatcherSettings(settings)), makeHooks());
    }

    void addTo(supervisor &root)
    {
        root.add(threadComponent("sync", [this](const std::stop_token &stop) {
            internal::sync_loop(m_state, openLink(), readInstant, readWallTime).run(stop);
        }));
        root.add(threadComponent("timers", [this](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                m_state.coordinator->tick();
                std::this_thread::sleep_for(timerInterval);
            }
        }));
        for (int i = 1; i <= claimThreads; ++i)
            root.add(threadComponent("claims-" + std::to_string(i),
                                     [this](const auto &stop) { m_ledger.runClaims(stop); }));
        for (int i = 1; i <= settlementThreads; ++i)
            root.add(threadComponent("settlements-" + std::to_string(i),
                                     [this](const auto &stop) { m_ledger.runSettlements(stop); }));
        root.add({.name = "http",
                  .start =
                      [this] {
                          m_server = std::make_unique<http_server>(
                              serverOptions(m_settings),
                              [this](const http_request &request, const http_reply &reply) {
                                  m_routes.handle(request, reply);
                              });
                      },
                  .stop = [this] { m_server.reset(); },
                  .failure = [](instant) { return std::optional<std::string>(); }});
    }

    void leave() { m_state.leaving = true; }

    bool mayStop() const
    {
        const auto snapshot = m_state.snapshot.load();
        if (!snapshot->synced)
            return true;
        return snapshot->releasedAt
            && readInstant() >= *snapshot->releasedAt + m_state.lookupLifetime
            && m_state.coordinator->open() == 0 && m_ledger.open() == 0;
    }

private:
    control_link openLink()
    {
        return {addressesOf(m_settings.controlHosts), jsonRpcCalls(), readInstant};
    }

    coordinator_hooks makeHooks()
    {
        return {
            .now = readInstant,
            .snapshot = [this] { return m_state.snapshot.load(); },
            // Unique, since no two processes have one incarnation.
            .randomId =
                [this] {
                    return fmt::format("{}-{}", m_state.identity.incarnation.text(), ++m_drawn);
                },
            .forward = [this](const forward_request &request,
                              const auto &done) { return m_state.forwarder.send(request, done); },
            .requestClaim =
                [this](const claim &wanted, instant giveUpAt, auto done) {
                    m_ledger.requestClaim(wanted, giveUpAt, std::move(done));
                },
            .settle = [this](const settlement &settled, instant giveUpAt,
                             auto done) { m_ledger.settle(settled, giveUpAt, std::move(done)); },
        };
    }

    const entry_settings m_settings;
    internal::entry_state m_state;
    ledger_client m_ledger;
    internal::entry_routes m_routes;
    std::unique_ptr<http_server> m_server;
    std::atomic<std::uint64_t> m_drawn{0};
};

entry_service::entry_service(const entry_settings &settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

entry_service::~entry_service() = default;

void entry_service::addTo(supervisor &root)
{
    m_implementation->addTo(root);
}

void entry_service::leave()
{
    m_implementation->leave();
}

bool entry_service::mayStop() const
{
    return m_implementation->mayStop();
}

} // namespace kingcuptiller
