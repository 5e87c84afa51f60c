#pragma once

#include <cstdint>
#include <memory>

namespace kingcuptiller {

// Limits the number of bytes that all holders in a process keep in memory together, for example the
// bodies of responses that are being read. Not thread-safe: all holders of one budget belong to one
// thread.
class byte_budget
{
public:
    explicit byte_budget(std::uint64_t limit);

    // The bytes of one holder, which go back to the budget when this object is destroyed. It may
    // outlive the budget.
    class holding
    {
    public:
        // Holds nothing and belongs to no budget; `resize` then always succeeds.
        holding() = default;
        ~holding();
        holding(holding &&other) noexcept;
        holding &operator=(holding &&other) noexcept;
        holding(const holding &) = delete;
        holding &operator=(const holding &) = delete;

        // Changes the number of bytes. Returns false, and changes nothing, if the budget lacks the
        // bytes.
        [[nodiscard]] bool resize(std::uint64_t bytes);

    private:
        friend class byte_budget;
        struct usage;

        explicit holding(std::shared_ptr<usage> used);

        std::shared_ptr<usage> m_usage;
        std::uint64_t m_bytes = 0;
    };

    // Returns a holding of this budget with no bytes.
    [[nodiscard]] holding open() const;
    // The bytes of all holdings.
    [[nodiscard]] std::uint64_t heldBytes() const;

private:
    std::shared_ptr<holding::usage> m_usage;
};

} // namespace kingcuptiller
