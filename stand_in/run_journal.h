#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// One request that an upstream began to run.
struct run_record
{
    request_key key;
    attempt_id attempt;
    class_name workClass;
    wall_time time;

    auto operator<=>(const run_record &) const = default;
};

// The file in which an upstream notes every run before it begins, "KEY ATTEMPT CLASS MS" on a line.
// Each line is handed to the kernel at once, so it outlives a killed process. Any thread may write.
class run_journal
{
public:
    // Appends to the file; an empty path keeps no journal. Throws std::runtime_error when the file
    // cannot be opened.
    explicit run_journal(const std::string &path);

    void write(const run_record &record);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// All records of a journal. An incomplete last line is left out: its run never began. Throws
// std::runtime_error when the file cannot be read or a complete line is malformed.
[[nodiscard]] std::vector<run_record> readJournal(const std::string &path);

} // namespace kingcuptiller::stand_in
