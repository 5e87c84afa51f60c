#pragma once

#include "kingcuptiller/transport/http_server.h"
#include "kingcuptiller/values/error.h"

#include "entry_state.h"

#include <functional>

namespace kingcuptiller::internal {

// The HTTP interface of an entry (docs/design.md, section 8): work, look-ups, announcements and the
// pages for operators.
class entry_routes
{
public:
    entry_routes(entry_state &state, std::function<instant()> now,
                 std::function<wall_time()> wallNow);

    void handle(const http_request &request, const http_reply &reply);

private:
    void work(const http_request &request, const http_reply &reply);
    [[nodiscard]] http_answer lookUp(const http_request &request);
    [[nodiscard]] http_answer announce(const http_request &request);
    [[nodiscard]] http_answer withdraw(const http_request &request);
    [[nodiscard]] http_answer operatorPage(const http_request &request);
    [[nodiscard]] http_answer burnReport(const http_request &request) const;
    [[nodiscard]] http_answer refusal(const error &reason);
    void requireService() const;

    entry_state &m_state;
    std::function<instant()> m_now;
    std::function<wall_time()> m_wallNow;
    counter &m_lookups;
    counter &m_announcements;
};

} // namespace kingcuptiller::internal
