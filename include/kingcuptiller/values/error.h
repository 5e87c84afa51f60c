#pragma once

#include "kingcuptiller/values/result_code.h"

#include <stdexcept>
#include <string>

namespace kingcuptiller {

// The exception of this library. Within a process it carries a result code and a sentence that
// names the faulty input; at a process border the two are sent to the other side.
class error : public std::runtime_error
{
public:
    error(result_code code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }

    [[nodiscard]] result_code code() const { return m_code; }

private:
    result_code m_code;
};

} // namespace kingcuptiller
