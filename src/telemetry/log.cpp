#include "kingcuptiller/telemetry/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>

namespace kingcuptiller {

namespace {

std::atomic<log_level> lowestLevel{log_level::info};
std::mutex sinkMutex;

log_sink &currentSink()
{
    static log_sink sink = [](const std::string &line) { fmt::print(stderr, "{}\n", line); };
    return sink;
}

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string quoted(std::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
}

} // namespace

log_line::log_line(log_level level, std::string_view component, std::string_view event)
    : m_enabled(level >= lowestLevel.load(std::memory_order_relaxed))
{
    if (!m_enabled)
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    m_text = fmt::format(R"({{"time":"{:%FT%T}Z","level":"{}","component":{},"event":{})", now,
                         levelName(level), quoted(component), quoted(event));
}

log_line::~log_line()
{
    if (!m_enabled)
        return;
    m_text += '}';
    const std::lock_guard lock(sinkMutex);
    currentSink()(m_text);
}

log_line &log_line::field(std::string_view name, std::string_view value)
{
    if (m_enabled)
        m_text += fmt::format(",{}:{}", quoted(name), quoted(value));
    return *this;
}

log_line &log_line::field(std::string_view name, const char *value)
{
    return field(name, std::string_view(value));
}

log_line &log_line::field(std::string_view name, std::int64_t value)
{
    if (m_enabled)
        m_text += fmt::format(",{}:{}", quoted(name), value);
    return *this;
}

log_line &log_line::field(std::string_view name, std::uint64_t value)
{
    if (m_enabled)
        m_text += fmt::format(",{}:{}", quoted(name), value);
    return *this;
}

log_line &log_line::field(std::string_view name, int value)
{
    return field(name, static_cast<std::int64_t>(value));
}

log_line &log_line::field(std::string_view name, double value)
{
    if (m_enabled)
        m_text += fmt::format(",{}:{:.3f}", quoted(name), value);
    return *this;
}

void setLogLevel(log_level level)
{
    lowestLevel.store(level, std::memory_order_relaxed);
}

void setLogSink(log_sink sink)
{
    const std::lock_guard lock(sinkMutex);
    currentSink() = std::move(sink);
}

} // namespace kingcuptiller
