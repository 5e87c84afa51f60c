#include "kingcuptiller/node/entry_node.h"

#include "kingcuptiller/node/process_capacity.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/system_clock.h"
#include "kingcuptiller/values/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <thread>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds tickInterval{1'000};
// How often an entry that leaves checks what is left to do.
constexpr milliseconds leavingCheck{50};
// Response bodies take at most this part of the memory of the process, and so do request bodies.
constexpr std::uint64_t heldBodiesDivisor = 4;
// How often the entry checks whether it has to ask for credits, and how soon it does so when a
// request waits for one.
constexpr milliseconds creditRequestInterval{50};
constexpr milliseconds creditShortageDelay{5};
// Entries of a zone exchange load reports if each has at least so many others.
constexpr std::size_t minExchangePeers = 2;
// Part of the revocation limit that is left for the way of the last news to this entry.
constexpr double revocationMargin = 0.2;

relay_options relayOptions(const node_settings &settings, const entry_platform &platform,
                           const std::atomic<instant> &lastControlContact,
                           std::function<void()> onCreditShortage)
{
    relay_options options;
    options.headers = platform.headers;
    options.choice.region = settings.region;
    options.choice.zone = settings.zone;
    options.choice.regions = settings.zones;
    options.choice.shift = {settings.largestShift, settings.shiftWindow};
    options.choice.entrySeed = XXH3_64bits(settings.name.data(), settings.name.size());
    options.runSeed = options.choice.entrySeed
        ^ static_cast<std::uint64_t>(readInstant().time_since_epoch().count());
    options.retryBudget = {settings.retryShare, settings.retrySlack, settings.retryWindow};
    options.maximumHeldResponseBytes = settings.memoryBytes / heldBodiesDivisor;
    options.now = readInstant;
    if (settings.traffic)
        options.entry = *settings.traffic;
    options.onCreditShortage = std::move(onCreditShortage);
    if (settings.strictRevocation) {
        options.revocationLimit = milliseconds(std::llround(
            static_cast<double>(settings.revocationLimit.count()) * (1 - revocationMargin)));
        options.lastControlContact = [&lastControlContact] { return lastControlContact.load(); };
    }
    return options;
}

} // namespace

std::vector<fleet_entry> nearestEntries(const std::vector<fleet_entry> &entries,
                                        const region_name &region, const zone_name &zone)
{
    std::vector<fleet_entry> result;
    const auto take = [&](const auto &isNear) {
        if (result.empty())
            std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                         [&](const fleet_entry &entry) {
                             return entry.state == entry_state::serving && isNear(entry);
                         });
    };
    take([&](const fleet_entry &entry) { return entry.zone == zone; });
    take([&](const fleet_entry &entry) { return entry.region == region; });
    take([](const fleet_entry &) { return true; });
    return result;
}

// The thread of the feed and what it owns.
class entry_node::feed_thread
{
public:
    feed_thread(const node_settings &settings, const endpoint_address &traffic,
                std::function<traffic_configuration(const std::string &)> decode,
                std::function<void(fleet_view, std::optional<traffic_configuration>)> onView,
                std::function<void(instant)> onContact,
                std::function<void(const credit_reply &)> onCreditReply)
        : m_decode(std::move(decode))
        , m_onView(std::move(onView))
        , m_onCreditReply(std::move(onCreditReply))
        , m_work(asio::make_work_guard(m_context))
        , m_feed(m_context,
                 fleet_feed_options{
                     .seeds = settings.seeds,
                     .controlPort = settings.internalPort,
                     .entry = {traffic, settings.region, settings.zone, entry_state::joining},
                     .now = readInstant,
                     .onContact = std::move(onContact),
                     .onCreditReply = [this](const std::string &body) { receiveCredits(body); }},
                 [this](const fleet_view &view) { receive(view); })
        , m_thread([this] { m_context.run(); })
    {
    }

    ~feed_thread()
    {
        m_context.stop();
        m_thread.join();
    }
    feed_thread(const feed_thread &) = delete;
    feed_thread &operator=(const feed_thread &) = delete;

    void setState(entry_state state)
    {
        asio::post(m_context, [this, state] { m_feed.setState(state); });
    }

    void sendCreditRequest(credit_request request)
    {
        asio::post(m_context, [this, request = std::move(request)] {
            m_feed.sendCreditRequest(encodeCreditRequest(request));
        });
    }

private:
    void receive(const fleet_view &view)
    {
        std::optional<traffic_configuration> configuration;
        if (!view.document.empty()) {
            try {
                configuration = m_decode(view.document);
            } catch (const std::exception &failure) {
                // Control hosts check a configuration before they accept it.
                log_line(log_level::error, "entry", "configuration_refused")
                    .field("version", view.version.number())
                    .field("reason", failure.what());
            }
        }
        m_onView(view, std::move(configuration));
    }

    void receiveCredits(const std::string &body)
    {
        try {
            m_onCreditReply(decodeCreditReply(body));
        } catch (const error &failure) {
            log_line(log_level::error, "entry", "credits_refused").field("reason", failure.what());
        }
    }

    std::function<traffic_configuration(const std::string &)> m_decode;
    std::function<void(fleet_view, std::optional<traffic_configuration>)> m_onView;
    std::function<void(const credit_reply &)> m_onCreditReply;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    fleet_feed m_feed;
    std::thread m_thread;
};

entry_node::entry_node(asio::io_context &context, const node_settings &settings,
                       entry_platform platform, counter_registry &counters)
    : m_context(context)
    , m_settings(settings)
    , m_platform(std::move(platform))
    , m_relay(context,
              relayOptions(settings, m_platform, m_lastControlContact,
                           [this] { scheduleCreditRequest(creditShortageDelay); }),
              counters)
    , m_viewCommands(counters.get("kct_entry_view_commands"))
    , m_upstreams(counters.get("kct_entry_upstreams"))
    , m_loadExchange(context, m_settings.host, m_settings.internalPort,
                     {[this] { return m_relay.takeLoadReports(); },
                      [this](const std::vector<shared_load_report> &reports) {
                          m_relay.applyLoadReports(reports);
                      }},
                     counters)
    , m_tick(context)
    , m_creditTimer(context)
{
    if (!m_settings.traffic)
        throw error(result_code::settings_invalid, "an entry needs an address for traffic");
    m_server = std::make_unique<traffic_server>(
        m_context, parseTcpEndpoint(m_settings.traffic->text()),
        [this](const relay_request &request, client_disconnect_signal &client) {
            return m_relay.handle(request, client);
        },
        [this] { return m_relay.limits(); }, nullptr,
        divideCapacity(m_settings.memoryBytes, availableDescriptors(m_settings.descriptors))
            .requests,
        [this](const request_head &head) { return m_relay.streamsBody(head); });
    m_feed = std::make_unique<feed_thread>(
        m_settings, *m_settings.traffic, m_platform.decodeConfiguration,
        [this](fleet_view view, std::optional<traffic_configuration> configuration) {
            asio::post(m_context,
                       [this, view = std::move(view), configuration = std::move(configuration)] {
                           apply(view, configuration);
                       });
        },
        [this](instant contact) { m_lastControlContact = contact; },
        [this](const credit_reply &reply) {
            asio::post(m_context, [this, reply] { m_relay.applyCreditReply(reply); });
        });
    scheduleTick();
    scheduleCreditRequest(creditRequestInterval);
}

entry_node::~entry_node() = default;

void entry_node::apply(const fleet_view &view,
                       const std::optional<traffic_configuration> &configuration)
{
    const bool wasReady = m_relay.ready();
    m_view = view;
    m_view.document.clear();
    // Control may not know yet that this entry leaves.
    if (m_leaving)
        removeOwnEntry();
    m_relay.update(view, configuration);
    m_loadExchange.setPeers(zonePeers());
    m_viewCommands.set(view.appliedCommands);
    m_upstreams.set(view.upstreams.size());
    if (configuration)
        log_line(log_level::info, "entry", "configuration_applied")
            .field("version", configuration->version.number())
            .field("routes", static_cast<std::uint64_t>(configuration->routes.size()));
    if (!wasReady && ready()) {
        log_line(log_level::info, "entry", "serves_requests").field("name", m_settings.name);
        m_feed->setState(entry_state::serving);
    }
}

std::vector<host_id> entry_node::zonePeers() const
{
    std::vector<host_id> peers;
    for (const fleet_entry &entry : m_view.entries) {
        const std::string &address = entry.address.text();
        const host_id host(address.substr(0, address.rfind(':')));
        if (entry.zone == m_settings.zone && entry.state == entry_state::serving
            && host != m_settings.host)
            peers.push_back(host);
    }
    // The reports of a few entries are hardly newer than those that this entry gets itself.
    return peers.size() < minExchangePeers ? std::vector<host_id>() : peers;
}

void entry_node::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](error_code problem) {
        if (problem)
            return;
        m_relay.runPeriodicTasks();
        scheduleTick();
    });
}

void entry_node::scheduleCreditRequest(milliseconds delay)
{
    if (delay >= m_creditDelay && m_creditDelay > milliseconds(0))
        return;
    m_creditDelay = delay;
    m_creditTimer.expires_after(delay);
    m_creditTimer.async_wait([this](error_code problem) {
        if (problem)
            return;
        m_creditDelay = milliseconds(0);
        if (auto request = m_relay.takeCreditRequest())
            m_feed->sendCreditRequest(std::move(*request));
        scheduleCreditRequest(m_relay.isShortOfCredits() ? creditShortageDelay
                                                         : creditRequestInterval);
    });
}

void entry_node::setShutdownLimit(milliseconds limit)
{
    m_settings.shutdownLimit = limit;
}

milliseconds entry_node::addressLifetime() const
{
    return limitAddressLifetime(m_settings.directoryLifetime, m_settings.shutdownLimit);
}

void entry_node::removeOwnEntry()
{
    std::erase_if(m_view.entries, [this](const fleet_entry &entry) {
        return entry.address == *m_settings.traffic;
    });
}

void entry_node::leave(std::function<void()> done)
{
    if (std::exchange(m_leaving, true))
        return;
    const instant now = readInstant();
    shutdown_plan plan =
        planShutdown(now, m_settings.shutdownLimit, addressLifetime(), m_server->longestDelivery());
    // No directory has named an entry that has not served yet.
    if (!m_relay.ready())
        plan.addressExpiry = now;
    const auto fromNow = [now](instant time) {
        return std::chrono::duration_cast<milliseconds>(time - now).count();
    };
    log_line(log_level::info, "entry", "leaves")
        .field("name", m_settings.name)
        .field("in_progress", static_cast<std::uint64_t>(m_server->requestsInProgress()))
        .field("address_expires_ms", fromNow(plan.addressExpiry))
        .field("last_response_ms", fromNow(plan.lastResponse))
        .field("process_end_ms", fromNow(plan.processEnd));
    m_feed->setState(entry_state::absent);
    removeOwnEntry();
    m_relay.setProcessEnd(plan.lastResponse);
    m_server->startLeaving(
        [this](const request_head &head) { return m_relay.rejectBeforeExit(head); });
    asio::co_spawn(m_context, finishRequests(plan, std::move(done)), asio::detached);
}

asio::awaitable<void> entry_node::finishRequests(shutdown_plan plan, std::function<void()> done)
{
    asio::steady_timer pause(m_context);
    bool isDraining = false;
    for (instant now = readInstant(); now < plan.processEnd; now = readInstant()) {
        m_server->rejectUnfinishedRequests();
        if (now >= plan.addressExpiry && !std::exchange(isDraining, true)) {
            m_server->stopAccepting();
            m_server->startDraining();
        }
        if (isDraining && m_server->requestsInProgress() == 0)
            break;
        pause.expires_after(leavingCheck);
        co_await pause.async_wait(asio::use_awaitable);
    }
    log_line(log_level::info, "entry", "left")
        .field("name", m_settings.name)
        .field("in_progress", static_cast<std::uint64_t>(m_server->requestsInProgress()));
    done();
}

} // namespace kingcuptiller
