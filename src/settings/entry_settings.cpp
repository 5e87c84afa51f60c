#include "kingcuptiller/settings/entry_settings.h"

namespace kingcuptiller {

namespace {

using std::chrono::minutes;

constexpr std::uint64_t mebibyte = 1024ULL * 1024;

// An address that stands for all of a host's addresses cannot be handed to clients.
bool isUnspecified(const endpoint_address &address)
{
    return address.text().starts_with("0.0.0.0:") || address.text().starts_with("[::]:");
}

void readHost(settings_reader &reader, entry_settings &settings)
{
    settings.host = reader.identifier<host_id>("host", "id");
    settings.region = reader.identifier<region_name>("host", "region");
    settings.zone = reader.identifier<zone_name>("host", "zone");
    settings.listen = reader.endpoint("host", "listen");
    settings.advertised = reader.endpoint("host", "advertise", settings.listen.text());
    if (isUnspecified(settings.advertised))
        reader.refuse("host", "advertise", "clients need one address of this host");
    settings.controlHosts = reader.hostAddresses("control", "hosts");
}

void readLimits(settings_reader &reader, entry_settings &settings)
{
    const auto number = [&reader](const char *section, const char *key, std::uint32_t fallback,
                                  inclusive_range<std::uint64_t> range) {
        return static_cast<std::uint32_t>(reader.number(section, key, fallback, range));
    };
    settings.concurrency = number("limits", "concurrency", settings.concurrency, {1, 65536});
    settings.queueLength = number("limits", "queue", settings.queueLength, {0, 65536});
    settings.requestBodyLimit =
        reader.bytes("limits", "request_body", "1 MiB", {1024, 64 * mebibyte});
    settings.answerBodyLimit =
        reader.bytes("limits", "answer_body", "8 MiB", {1024, 256 * mebibyte});
    settings.lookupLifetime =
        reader.duration("limits", "lookup_lifetime", "5 s", {milliseconds(100), minutes(10)});
    settings.trafficThreads =
        number("limits", "traffic_threads", settings.trafficThreads, {1, 256});
    settings.shiftCapPercent =
        number("steering", "shift_cap_percent", settings.shiftCapPercent, {1, 100});
    settings.linkMegabits = number("steering", "link_mbit", settings.linkMegabits, {1, 1000000});
    settings.warmUp =
        reader.duration("steering", "warm_up", "10 s", {milliseconds(0), minutes(30)});
}

void readTls(settings_reader &reader, entry_settings &settings)
{
    settings.tlsCertificate = reader.text("tls", "certificate", "");
    settings.tlsKey = reader.text("tls", "key", "");
    if (settings.tlsCertificate.empty() != settings.tlsKey.empty())
        reader.refuse("tls", settings.tlsKey.empty() ? "key" : "certificate",
                      "TLS needs both certificate and key");
}

} // namespace

entry_settings parseEntrySettings(const std::string &path, const std::string &text)
{
    settings_reader reader(path, text);
    entry_settings settings;
    readHost(reader, settings);
    readLimits(reader, settings);
    readTls(reader, settings);
    settings.logLevel = reader.level("log", "level");
    settings.effective = reader.finish();
    return settings;
}

entry_settings loadEntrySettings(const std::string &path)
{
    return parseEntrySettings(path, readSettingsText(path));
}

} // namespace kingcuptiller
