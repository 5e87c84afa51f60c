#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace kingcuptiller {

// A new folder that is removed with all its files at the end.
class temporary_folder
{
public:
    temporary_folder()
        : path(std::filesystem::temp_directory_path() / "kct-XXXXXX")
    {
        if (::mkdtemp(path.data()) == nullptr)
            throw std::runtime_error("cannot make a temporary folder");
    }
    ~temporary_folder() { std::filesystem::remove_all(path); }
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    std::string path;
};

} // namespace kingcuptiller
