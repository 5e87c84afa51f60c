#include "stand_in/entry_finder.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/http_message.h"
#include "kingcuptiller/values/error.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>
#include <json/value.h>

#include <algorithm>
#include <exception>

namespace kingcuptiller::stand_in {

namespace {

constexpr milliseconds lookupLimit{500};
constexpr milliseconds pauseAfterFailure{200};
constexpr milliseconds firstLookupLimit{10000};
constexpr std::size_t largestAnswer = 65536;

} // namespace

entry_list_answer parseEntryList(const std::string &body)
{
    const Json::Value document = parseJson(body, largestAnswer);
    const Json::Value &entries = document["entries"];
    const Json::Value &lifetime = document["lifetimeMs"];
    if (!entries.isArray() || !lifetime.isInt64())
        throw error(result_code::message_malformed,
                    "the look-up answer lacks entries or lifetimeMs");
    entry_list_answer answer;
    for (const Json::Value &each : entries) {
        if (!each.isObject() || !each["address"].isString())
            throw error(result_code::message_malformed, "an entry of the answer lacks its address");
        answer.entries.emplace_back(each["address"].asString());
    }
    answer.lifetime = milliseconds(lifetime.asInt64());
    return answer;
}

entry_finder::entry_finder(const load_options &options)
    : m_path(fmt::format("/v1/entries?region={}&zone={}&client={}", options.region.text(),
                         options.zone.text(), options.client))
    , m_bootstrap(options.entries)
    , m_entries(options.entries)
    , m_thread([this] { refreshRegularly(); })
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, firstLookupLimit, [this] { return m_found; });
}

entry_finder::~entry_finder()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::vector<endpoint_address> entry_finder::entries() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

void entry_finder::refreshRegularly()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const bool succeeded = refresh();
        lock.lock();
        m_found = m_found || succeeded;
        m_changed.notify_all();
        m_changed.wait_for(lock, succeeded ? m_lifetime : pauseAfterFailure,
                           [this] { return m_stopping; });
    }
}

bool entry_finder::refresh()
{
    std::vector<endpoint_address> candidates = entries();
    candidates.insert(candidates.end(), m_bootstrap.begin(), m_bootstrap.end());
    web::http::client::http_client_config config;
    config.set_timeout(lookupLimit);
    for (const endpoint_address &candidate : candidates) {
        try {
            web::http::client::http_client client("http://" + candidate.text(), config);
            auto response = client.request(web::http::methods::GET, m_path).get();
            if (response.status_code() != web::http::status_codes::OK)
                continue;
            entry_list_answer answer = parseEntryList(toText(response.extract_vector().get()));
            if (answer.entries.empty())
                continue;
            const std::lock_guard lock(m_mutex);
            m_entries = std::move(answer.entries);
            m_lifetime = std::max(answer.lifetime, milliseconds(10));
            return true;
        } catch (const std::exception &fault) {
            log_line(log_level::debug, "load", "lookup_failed")
                .field("entry", candidate.text())
                .field("reason", fault.what());
        }
    }
    return false;
}

} // namespace kingcuptiller::stand_in
