#pragma once

#include "kingcuptiller/values/configuration.h"

#include <cstddef>
#include <map>

namespace kingcuptiller::internal {

// Divides the ledger's records among the non-idempotent classes: 60% is guaranteed, half of it in
// equal parts and half by worth. The rest is shared; rank 1 may fill all of it, rank 2 three
// quarters and later ranks one half, so a flood of one class leaves room for the others.
class ledger_parts
{
public:
    ledger_parts(const configuration &classes, std::size_t capacity);

    [[nodiscard]] std::size_t guaranteed(const class_name &name) const;
    // True when a class that holds `counts` of its own and of the others may add one record.
    [[nodiscard]] bool hasRoom(const work_class &wanted,
                               const std::map<class_name, std::size_t> &counts) const;

private:
    std::map<class_name, std::size_t> m_guaranteed;
    std::size_t m_shared = 0;
};

} // namespace kingcuptiller::internal
