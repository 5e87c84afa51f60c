#pragma once

#include "kingcuptiller/control/command.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>

namespace kingcuptiller {

// The operators' configuration with its revision, and the answers to the newest changes.
//
// `apply` accepts or refuses a change as a whole. A change that was based on another revision than
// the current one is refused, so of two operators who start from one revision only one succeeds.
// The first answer to a change id is kept for the newest 10,000 changes and given again to a
// resent change, also after a snapshot was restored.
class configuration_store
{
public:
    static constexpr std::size_t rememberedChanges = 10'000;
    static constexpr std::size_t maximumClasses = 64;
    static constexpr std::size_t maximumStops = 1'000;
    static constexpr milliseconds maximumDeadline{60'000};

    struct remembered_answer
    {
        change_id id;
        change_answer answer;

        bool operator==(const remembered_answer &) const = default;
    };

    // True when a class has registered upstreams.
    using class_in_use = std::function<bool(const class_name &)>;

    configuration_store() = default;
    // Restores a snapshot. `answers` is oldest first.
    configuration_store(configuration current, std::deque<remembered_answer> answers,
                        milliseconds longestDeadline);

    change_answer apply(const change_command &change, wall_time now, const class_in_use &inUse);

    [[nodiscard]] const configuration &current() const { return m_current; }
    [[nodiscard]] const std::deque<remembered_answer> &answers() const { return m_answers; }
    // The first answer to this change, or nullptr.
    [[nodiscard]] const change_answer *findAnswer(const change_id &id) const;

    // The longest deadline that any class ever allowed. It is never lowered, because requests that
    // were admitted under a former configuration may still run.
    [[nodiscard]] milliseconds longestDeadline() const { return m_longestDeadline; }

    // The configuration that `change` would make. Throws `error` with the code of the refusal.
    [[nodiscard]] configuration changed(const change_request &change, wall_time now,
                                        const class_in_use &inUse) const;

private:
    void remember(const change_id &id, const change_answer &answer);

    configuration m_current;
    std::deque<remembered_answer> m_answers;
    std::unordered_map<change_id, change_answer> m_byId;
    milliseconds m_longestDeadline{5000};
};

// True when the stop is under way at `now`.
[[nodiscard]] bool isActive(const planned_stop &stop, wall_time now);

} // namespace kingcuptiller
