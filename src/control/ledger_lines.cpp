#include "kingcuptiller/control/request_ledger.h"

#include "json_fields.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller {

namespace {

using namespace internal;

constexpr std::size_t batchBytes = 65'536;
// A record with the largest answer, and some space for its texts.
constexpr std::size_t maximumLineBytes = std::size_t{1} << 20U;
// Fields of one record line: kind, key, class, issue time, body hash, state, attempt, host,
// incarnation, deadline and, for a completed record, its answer.
constexpr Json::ArrayIndex recordFields = 10;

void appendText(std::string &out, const std::string &text)
{
    // jsoncpp's own quoting needs a tree node and a writer for each text, which dominates the cost
    // of a large snapshot. Texts are UTF-8, because they came in as JSON.
    out += '"';
    for (const char each : text) {
        if (each == '"' || each == '\\')
            (out += '\\') += each;
        else if (static_cast<unsigned char>(each) < ' ')
            out += fmt::format("\\u{:04x}", each);
        else
            out += each;
    }
    out += '"';
}

void appendTexts(std::string &out, std::initializer_list<const std::string *> texts)
{
    for (const auto *text : texts) {
        out += ',';
        appendText(out, *text);
    }
}

void appendTime(std::string &out, wall_time time)
{
    out += ',';
    out += std::to_string(time.time_since_epoch().count());
}

void writeRecord(std::string &out, const request_key &key, const ledger_record &record)
{
    out += "[\"r\"";
    appendTexts(out, {&key.text(), &record.workClass.text()});
    appendTime(out, record.issueTime);
    appendTexts(out, {&record.bodyHash.text()});
    out += ',' + std::to_string(static_cast<int>(record.state));
    appendTexts(
        out,
        {&record.attempt.text(), &record.holder.host.text(), &record.holder.incarnation.text()});
    appendTime(out, record.deadline);
    if (record.answer)
        out += ',' + writeJson(toJson(*record.answer));
    out += "]\n";
}

ledger_record readRecord(const Json::Value &line)
{
    ledger_record record;
    record.workClass = class_name(toText(line[2], "class"));
    record.issueTime = toWallTime(line[3], "issueTime");
    record.bodyHash = body_hash(toText(line[4], "bodyHash"));
    record.state = static_cast<record_state>(toNumber(line[5], "state", 2));
    record.attempt = attempt_id(toText(line[6], "attempt"));
    record.holder = {host_id(toText(line[7], "host")),
                     incarnation_id(toText(line[8], "incarnation"))};
    record.deadline = toWallTime(line[9], "deadline");
    if (line.size() > recordFields)
        record.answer = fromJson<recorded_answer>(line[recordFields]);
    return record;
}

} // namespace

void request_ledger::writeLines(std::string &out) const
{
    out += "[\"l\"," + std::to_string(m_limits.retention.count()) + ','
        + std::to_string(m_limits.records) + ',' + std::to_string(m_limits.bodyBytes);
    appendTime(out, m_floor);
    out += "]\n";
    // Ordered by issue time, so that equal ledgers have equal texts.
    for (const auto &[issueTime, key] : m_byIssueTime)
        writeRecord(out, key, m_records.at(key));
    for (const auto &each : m_tombstones) {
        out += "[\"t\"";
        appendTexts(out, {&each.attempt.text(), &each.key.text()});
        appendTime(out, each.until);
        out += "]\n";
    }
    for (const auto &each : m_bodies) {
        out += "[\"b\"";
        appendTexts(out, {&each.key.text(), &each.attempt.text()});
        out += "]\n";
    }
}

void request_ledger::readLines(std::string_view text)
{
    // Making a parser costs more than parsing one line, so one parser reads some hundred lines.
    while (!text.empty()) {
        std::string batch = "{\"lines\":[";
        while (!text.empty() && batch.size() < batchBytes) {
            const std::size_t end = std::min(text.find('\n'), text.size());
            batch.append(text.substr(0, end)).append(",");
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        batch.back() = ']';
        const Json::Value document = parseJson(batch + '}', batchBytes + maximumLineBytes);
        for (const Json::Value &each : member(document, "lines"))
            readLine(each);
    }
}

void request_ledger::readLine(const Json::Value &line)
{
    if (!line.isArray() || line.size() < 3)
        throwField("line", "is not a line of the ledger");
    const std::string kind = toText(line[0], "kind");
    if (kind == "l" && line.size() == 5) {
        m_limits = {toMilliseconds(line[1], "retention"), toNumber(line[2], "records"),
                    toNumber(line[3], "bodyBytes")};
        m_floor = toWallTime(line[4], "floor");
    } else if (kind == "r" && line.size() >= recordFields) {
        ledger_record record = readRecord(line);
        if (record.answer)
            m_bodyBytes += record.answer->body.size();
        put(request_key(toText(line[1], "key")), std::move(record));
    } else if (kind == "t" && line.size() == 4) {
        m_tombstones.push_back({attempt_id(toText(line[1], "attempt")),
                                request_key(toText(line[2], "key")), toWallTime(line[3], "until")});
        m_fenced.emplace(m_tombstones.back().attempt, m_tombstones.back().key);
    } else if (kind == "b") {
        m_bodies.push_back(
            {request_key(toText(line[1], "key")), attempt_id(toText(line[2], "attempt"))});
    } else {
        throwField("kind", "has the unknown value '" + kind + "'");
    }
}

} // namespace kingcuptiller
