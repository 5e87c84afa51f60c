#pragma once

#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/values/error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kingcuptiller::testing {

// A disk in memory that loses what a real one may lose. `crash` keeps of each file the synced bytes
// and a random part of those after them, and undoes creations, renames and removals that no
// `syncFolder` followed.
class fake_disk
{
public:
    // Shares this object's files; this object must outlive the result.
    [[nodiscard]] disk hooks()
    {
        disk result;
        result.list = [this] { return names(); };
        result.read = [this](const std::string &name) { return m_names.at(name)->bytes; };
        result.append = [this](const std::string &name, std::string_view bytes) {
            auto &file = m_names[name];
            if (!file)
                file = std::make_shared<file_content>();
            // A failing disk may have taken a part of the bytes.
            file->bytes += failing ? bytes.substr(0, bytes.size() / 2) : bytes;
            refuseIfFailing();
        };
        result.sync = [this](const std::string &name) {
            refuseIfFailing();
            ++syncs;
            m_names.at(name)->synced = m_names.at(name)->bytes;
        };
        result.rename = [this](const std::string &from, const std::string &to) {
            refuseIfFailing();
            m_names[to] = m_names.at(from);
            m_names.erase(from);
        };
        result.truncate = [this](const std::string &name, std::uint64_t size) {
            m_names.at(name)->bytes.resize(size);
        };
        result.remove = [this](const std::string &name) { m_names.erase(name); };
        result.syncFolder = [this] {
            refuseIfFailing();
            m_durableNames = m_names;
        };
        return result;
    }

    void crash(std::mt19937_64 &random)
    {
        failing = false;
        m_names = m_durableNames;
        for (auto &[name, file] : m_names) {
            // Only appends occur between two syncs, so that the synced bytes are a prefix.
            const std::size_t unsynced = file->bytes.size() - file->synced.size();
            file->bytes.resize(file->synced.size() + random() % (unsynced + 1));
            file->synced = file->bytes;
        }
    }

    void clear()
    {
        m_names.clear();
        m_durableNames.clear();
        failing = false;
    }

    // Inverts one bit of a file.
    void flipBit(const std::string &name, std::size_t bit)
    {
        std::string &bytes = m_names.at(name)->bytes;
        char &byte = bytes[(bit / 8) % bytes.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (bit % 8)));
        m_names.at(name)->synced = bytes;
    }

    [[nodiscard]] std::string &content(const std::string &name) { return m_names.at(name)->bytes; }
    [[nodiscard]] bool contains(const std::string &name) const { return m_names.contains(name); }

    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, file] : m_names)
            result.push_back(name);
        return result;
    }

    // Every write and sync fails from now on.
    bool failing = false;
    std::size_t syncs = 0;

private:
    struct file_content
    {
        std::string bytes;
        std::string synced;
    };

    void refuseIfFailing() const
    {
        if (failing)
            throw error(result_code::disk_failed, "the fake disk refuses to write");
    }

    std::map<std::string, std::shared_ptr<file_content>> m_names;
    std::map<std::string, std::shared_ptr<file_content>> m_durableNames;
};

} // namespace kingcuptiller::testing
