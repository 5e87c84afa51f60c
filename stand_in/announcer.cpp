#include "stand_in/announcer.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/http_message.h"

#include <cpprest/http_client.h>
#include <json/value.h>

#include <exception>

namespace kingcuptiller::stand_in {

namespace {

constexpr milliseconds timeLimit{500};

} // namespace

announcer::announcer(std::vector<endpoint_address> entries)
    : m_entries(std::move(entries))
{
}

bool announcer::announce(const upstream_announcement &announcement)
{
    return post("/v1/announce", announcementBody(announcement));
}

bool announcer::withdraw(const upstream_announcement &announcement)
{
    Json::Value document;
    document["id"] = announcement.id.text();
    document["incarnation"] = announcement.incarnation.text();
    return post("/v1/withdraw", writeJson(document));
}

bool announcer::post(const std::string &path, const std::string &body)
{
    web::http::client::http_client_config config;
    config.set_timeout(timeLimit);
    for (std::size_t tried = 0; tried < m_entries.size(); ++tried) {
        const std::string &entry = m_entries[m_current].text();
        std::string reason;
        try {
            web::http::client::http_client client("http://" + entry, config);
            web::http::http_request message(web::http::methods::POST);
            message.set_request_uri(path);
            message.set_body(toBytes(body));
            message.headers().set_content_type("application/json");
            const auto answer = client.request(message).get();
            if (answer.status_code() / 100 == 2)
                return true;
            reason = std::to_string(answer.status_code());
        } catch (const std::exception &fault) {
            reason = fault.what();
        }
        log_line(log_level::warning, "announcer", "entry_failed")
            .field("entry", entry)
            .field("path", path)
            .field("reason", reason);
        m_current = (m_current + 1) % m_entries.size();
    }
    return false;
}

std::string announcementBody(const upstream_announcement &announcement)
{
    Json::Value document;
    document["id"] = announcement.id.text();
    document["incarnation"] = announcement.incarnation.text();
    document["address"] = announcement.address.text();
    document["region"] = announcement.region.text();
    document["zone"] = announcement.zone.text();
    document["class"] = announcement.workClass.text();
    document["slots"] = announcement.slots;
    document["connections"] = announcement.connections;
    document["load"] = announcement.load;
    document["lifetimeMs"] = Json::Int64(announcement.lifetime.count());
    document["state"] = announcement.leaving ? "leaving" : "serving";
    return writeJson(document);
}

} // namespace kingcuptiller::stand_in
