#include "kingcuptiller/relay/load_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace kingcuptiller {

namespace {

// The first byte of a message; changes with its format.
constexpr unsigned char messageVersion = 1;
// 64 bits of fingerprint and five numbers of 16 bits.
constexpr std::size_t reportBytes = 18;
// Messages stay within one packet of an Ethernet network.
constexpr std::size_t maxReports = 75;
// Older reports say too little to be shared.
constexpr milliseconds maxReportAge{1'000};

void append(std::string &message, std::uint64_t value, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        message.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
}

// Reads the next number and removes it from `message`.
std::uint64_t take(std::string_view &message, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (const char each : message.substr(0, bytes))
        value = value << 8U | static_cast<unsigned char>(each);
    message.remove_prefix(bytes);
    return value;
}

std::uint64_t clampedTo16Bits(std::int64_t value)
{
    return static_cast<std::uint64_t>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

upstream_fingerprint fingerprintOf(const upstream_incarnation &incarnation)
{
    const std::string &id = incarnation.id.text();
    return upstream_fingerprint(XXH3_64bits_withSeed(
        id.data(), id.size(), static_cast<std::uint64_t>(incarnation.startTimeMs)));
}

std::string encodeLoadReports(const std::vector<shared_load_report> &reports)
{
    std::string message(1, static_cast<char>(messageVersion));
    for (const shared_load_report &each : reports) {
        append(message, static_cast<std::uint64_t>(each.upstream), 8);
        append(message, clampedTo16Bits(each.load.running), 2);
        append(message, clampedTo16Bits(each.load.waiting), 2);
        append(message, clampedTo16Bits(each.load.slots), 2);
        append(message, clampedTo16Bits(each.load.workTimePercent), 2);
        append(message, clampedTo16Bits(each.age.count()), 2);
    }
    return message;
}

std::optional<std::vector<shared_load_report>> decodeLoadReports(std::string_view message)
{
    if (message.empty() || static_cast<unsigned char>(message.front()) != messageVersion
        || (message.size() - 1) % reportBytes != 0)
        return std::nullopt;
    message.remove_prefix(1);
    std::vector<shared_load_report> reports;
    while (!message.empty()) {
        shared_load_report report;
        report.upstream = upstream_fingerprint(take(message, 8));
        report.load.running = static_cast<std::uint32_t>(take(message, 2));
        report.load.waiting = static_cast<std::uint32_t>(take(message, 2));
        report.load.slots = static_cast<std::uint32_t>(take(message, 2));
        report.load.workTimePercent = static_cast<std::uint32_t>(take(message, 2));
        report.age = milliseconds(take(message, 2));
        reports.push_back(report);
    }
    return reports;
}

void load_report_queue::add(const upstream_incarnation &upstream, const upstream_load_report &load,
                            instant now)
{
    m_reports[fingerprintOf(upstream)] = {load, now};
}

std::vector<shared_load_report> load_report_queue::take(instant now)
{
    std::vector<shared_load_report> result;
    for (const auto &[upstream, report] : m_reports) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - report.receivedAt);
        if (age <= maxReportAge)
            result.push_back({upstream, report.load, std::max(age, milliseconds(0))});
    }
    m_reports.clear();
    std::sort(result.begin(), result.end(),
              [](const auto &one, const auto &other) { return one.age < other.age; });
    if (result.size() > maxReports)
        result.resize(maxReports);
    return result;
}

} // namespace kingcuptiller
