#include "stand_in/run_journal.h"

#include <fmt/format.h>

#include <sstream>
#include <stdexcept>

namespace kingcuptiller::stand_in {

namespace {

// A field that a request left empty, so that every line has four fields.
constexpr const char *emptyField = "-";

std::string written(const std::string &field)
{
    return field.empty() ? emptyField : field;
}

std::string read(const std::string &field)
{
    return field == emptyField ? "" : field;
}

} // namespace

run_journal::run_journal(const std::string &path)
{
    if (path.empty())
        return;
    m_file.open(path, std::ios::app);
    if (!m_file)
        throw std::runtime_error("cannot open the journal " + path);
}

void run_journal::write(const run_record &record)
{
    if (!m_file.is_open())
        return;
    const std::string line =
        fmt::format("{} {} {} {}\n", written(record.key.text()), written(record.attempt.text()),
                    written(record.workClass.text()), toUnixMilliseconds(record.time));
    const std::lock_guard lock(m_mutex);
    m_file << line << std::flush;
    if (!m_file)
        throw std::runtime_error("cannot write to the journal");
}

std::vector<run_record> readJournal(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read the journal " + path);
    std::vector<run_record> records;
    std::string line;
    while (std::getline(file, line)) {
        if (file.eof())
            break;
        std::istringstream fields(line);
        std::string key;
        std::string attempt;
        std::string workClass;
        std::int64_t time = 0;
        if (!(fields >> key >> attempt >> workClass >> time))
            throw std::runtime_error(fmt::format("{}: malformed line '{}'", path, line));
        records.push_back({request_key(read(key)), attempt_id(read(attempt)),
                           class_name(read(workClass)), fromUnixMilliseconds(time)});
    }
    return records;
}

} // namespace kingcuptiller::stand_in
