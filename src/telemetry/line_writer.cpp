#include "kingcuptiller/telemetry/line_writer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace kingcuptiller {

line_writer::line_writer(int descriptor)
    : m_descriptor(descriptor)
    , m_formerFlags(::fcntl(descriptor, F_GETFL))
{
    if (m_formerFlags >= 0)
        ::fcntl(m_descriptor, F_SETFL, m_formerFlags | O_NONBLOCK);
}

line_writer::~line_writer()
{
    if (m_formerFlags >= 0)
        ::fcntl(m_descriptor, F_SETFL, m_formerFlags);
}

bool line_writer::flush()
{
    while (!m_rest.empty()) {
        const ssize_t written = ::write(m_descriptor, m_rest.data(), m_rest.size());
        if (written <= 0)
            return false;
        m_rest.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

void line_writer::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    if (!flush()) {
        ++m_dropped;
        ++m_untold;
        return;
    }
    if (m_untold > 0) {
        m_rest = fmt::format("{{\"level\":\"warning\",\"component\":\"log\",\"event\":"
                             "\"lines_dropped\",\"count\":{}}}\n",
                             m_untold);
        m_untold = 0;
    }
    m_rest += line;
    m_rest += '\n';
    static_cast<void>(flush());
}

std::uint64_t line_writer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace kingcuptiller
