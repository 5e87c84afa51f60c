#pragma once

#include "fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace kingcuptiller::testing {

// Draws faults from the fleet's random engine and applies them, up to two at once.
//
//     fault_script script(fleet);
//     script.run(milliseconds(20'000)); // all faults have ended when it returns
class fault_script
{
public:
    explicit fault_script(fleet &target)
        : m_fleet(target)
    {
    }

    void run(milliseconds time);
    // One word for each fault that was applied, with the time in ms, for the log of a failing seed.
    [[nodiscard]] const std::string &text() const { return m_text; }

private:
    struct active_fault
    {
        instant end;
        std::string subject;
        std::function<void()> heal;
    };

    void startOne();
    void endDue(bool all);
    // Returns false when the subject has a fault already.
    void apply(const std::string &kind, const std::string &subject, milliseconds time,
               const std::function<void()> &start, const std::function<void()> &heal);
    void controlFault(std::uint64_t kind);
    void entryFault(std::uint64_t kind);
    void upstreamFault(std::uint64_t kind);
    void linkFault(std::uint64_t kind);
    void disturb(const std::string &kind, const std::vector<std::string> &from,
                 const std::vector<std::string> &to, const simulated_network::link_fault &fault,
                 milliseconds time);
    milliseconds between(std::uint64_t low, std::uint64_t high)
    {
        return milliseconds(low + m_fleet.network.draw(high - low));
    }

    fleet &m_fleet;
    std::vector<active_fault> m_active;
    // A host that came back with an empty disk is not counted on until all vote again.
    bool m_diskLost = false;
    std::string m_text;
};

} // namespace kingcuptiller::testing
