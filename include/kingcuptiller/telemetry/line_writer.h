#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace kingcuptiller {

// Writes log lines to a file descriptor without ever waiting for its reader: when the reader is
// slow, lines are dropped and counted, and the next line that fits is preceded by the count. The
// descriptor is set to non-blocking for the life of this object. Any thread may call `write`.
class line_writer
{
public:
    explicit line_writer(int descriptor);
    ~line_writer();
    line_writer(const line_writer &) = delete;
    line_writer &operator=(const line_writer &) = delete;

    void write(const std::string &line);
    // Lines that were dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    [[nodiscard]] bool flush();

    mutable std::mutex m_mutex;
    int m_descriptor;
    int m_formerFlags;
    // The rest of a line that was written in part.
    std::string m_rest;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0;
};

} // namespace kingcuptiller
