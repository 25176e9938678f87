#include "sidecar/settings_file.h"

#include <sys/stat.h>

namespace copperlead::sidecar
{
namespace
{

/** @returns a number that changes when the file is rewritten; 0 if there is no file */
std::int64_t stampOf (const std::string& path)
{
    struct stat status
    {
    };

    if (path.empty() || stat (path.c_str(), &status) != 0)
        return 0;

    return status.st_mtim.tv_sec * 1'000'000'000 + status.st_mtim.tv_nsec + status.st_size;
}

} // namespace

SettingsFile::SettingsFile (std::string pathToWatch)
    : filePath (std::move (pathToWatch))
    , readStamp (stampOf (filePath))
{
}

bool SettingsFile::changed() const
{
    const auto stamp = stampOf (filePath);
    return stamp != 0 && stamp != readStamp;
}

void SettingsFile::markRead() { readStamp = stampOf (filePath); }

} // namespace copperlead::sidecar
