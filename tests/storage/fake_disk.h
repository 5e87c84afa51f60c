#pragma once

#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/values/error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
            const bool refused = refuses();
            file->bytes += refused ? bytes.substr(0, bytes.size() / 2) : bytes;
            if (refused)
                refuse();
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
        failAfter.reset();
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
        failAfter.reset();
    }

    // A copy that shares nothing with this disk, as if the folder had been copied.
    [[nodiscard]] fake_disk clone() const
    {
        fake_disk result;
        for (const auto &[name, file] : m_names)
            result.m_names[name] = std::make_shared<file_content>(*file);
        result.m_durableNames = result.m_names;
        return result;
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

    // Every change fails after this many further ones.
    std::optional<std::size_t> failAfter;
    std::size_t syncs = 0;

private:
    struct file_content
    {
        std::string bytes;
        std::string synced;
    };

    [[nodiscard]] bool refuses()
    {
        if (!failAfter)
            return false;
        if (*failAfter == 0)
            return true;
        --*failAfter;
        return false;
    }

    [[noreturn]] static void refuse()
    {
        throw error(result_code::disk_failed, "the fake disk refuses to write");
    }

    void refuseIfFailing()
    {
        if (refuses())
            refuse();
    }

    std::map<std::string, std::shared_ptr<file_content>> m_names;
    std::map<std::string, std::shared_ptr<file_content>> m_durableNames;
};

} // namespace kingcuptiller::testing
