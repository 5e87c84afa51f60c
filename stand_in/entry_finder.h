#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"
#include "stand_in/load_options.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcuptiller::stand_in {

// An answer to GET /v1/entries.
struct entry_list_answer
{
    std::vector<endpoint_address> entries;
    milliseconds lifetime{0};

    bool operator==(const entry_list_answer &) const = default;
};

// Reads the body of an answer; throws `error` with message_malformed.
[[nodiscard]] entry_list_answer parseEntryList(const std::string &body);

// Looks the entries up in a thread of its own, and again whenever the lifetime of the answer has
// passed, as the clients of one place do. When no entry answers, the last list stays in use.
class entry_finder
{
public:
    // Returns after the first look-up that succeeded, or after 10 s.
    explicit entry_finder(const load_options &options);
    ~entry_finder();
    entry_finder(const entry_finder &) = delete;
    entry_finder &operator=(const entry_finder &) = delete;

    // In the order in which they are to be used; never empty.
    [[nodiscard]] std::vector<endpoint_address> entries() const;

private:
    void refreshRegularly();
    bool refresh();

    const std::string m_path;
    const std::vector<endpoint_address> m_bootstrap;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<endpoint_address> m_entries;
    milliseconds m_lifetime{200};
    bool m_found = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace kingcuptiller::stand_in
