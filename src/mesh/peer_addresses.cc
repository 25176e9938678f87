#include "mesh/peer_addresses.h"

#include <set>

namespace copperlead::mesh
{

PeerAddresses peersOf (const DirectorySnapshot& directory, const std::string& zone,
                       const std::string& ownIp)
{
    std::set<std::string> inZone, elsewhere;

    for (const auto& [address, listed] : directory.byAddress)
    {
        const auto& ip = listed.instance.address.ip;

        if (ip != ownIp)
            (listed.instance.zone == zone ? inZone : elsewhere).insert (ip);
    }

    return { { inZone.begin(), inZone.end() }, { elsewhere.begin(), elsewhere.end() } };
}

} // namespace copperlead::mesh
