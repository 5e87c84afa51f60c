#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// Logs as JSON lines on standard error: time, level, component, event, then the fields.
//
//     log_line(log_level::info, "entry", "lease_lost").field("revision", 12).field("host",
//     "entry-1");
//
// The line is written when the object ends, as one write, so lines of two threads never mix.

namespace kingcuptiller {

enum class log_level { debug, info, warning, error };

class log_line
{
public:
    // `component` and `event` are short, stable names that alarms can match.
    log_line(log_level level, std::string_view component, std::string_view event);
    ~log_line();
    log_line(const log_line &) = delete;
    log_line &operator=(const log_line &) = delete;

    log_line &field(std::string_view name, std::string_view value);
    log_line &field(std::string_view name, const char *value);
    log_line &field(std::string_view name, std::int64_t value);
    log_line &field(std::string_view name, std::uint64_t value);
    log_line &field(std::string_view name, int value);
    log_line &field(std::string_view name, double value);

private:
    std::string m_text;
    bool m_enabled;
};

// Lines below `level` are dropped. The default is info.
void setLogLevel(log_level level);

// Receives every finished line without its line end. The default writes to standard error.
using log_sink = std::function<void(const std::string &)>;
void setLogSink(log_sink sink);

} // namespace kingcuptiller
