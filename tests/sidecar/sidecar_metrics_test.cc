#include "sidecar/sidecar_metrics.h"

#include <gtest/gtest.h>

#include "mesh/milliseconds.h"

namespace copperlead::sidecar::test
{
namespace
{

constexpr std::string_view sourceAge = "copperlead_source_word_age_milliseconds ";
constexpr std::string_view zoneAge = "copperlead_zone_word_age_milliseconds ";

TEST (SidecarMetrics, AgesOfEventsThatNeverHappenedAreOmitted)
{
    SidecarFigures figures;
    EXPECT_EQ (metricsText (figures).find (sourceAge), std::string::npos);
    EXPECT_EQ (metricsText (figures).find (zoneAge), std::string::npos);
    figures.msSinceSourceAnswer = 12.5;
    EXPECT_NE (metricsText (figures).find (std::string (sourceAge) + "12.5\n"), std::string::npos);
    EXPECT_EQ (metricsText (figures).find (zoneAge), std::string::npos);
}

TEST (SidecarMetrics, TenantsAreShownByNameAndTheOthersTogether)
{
    SidecarFigures figures;
    figures.tenants = { { "gold", 7, 2 }, { "", 3, 0 } };
    const auto text = metricsText (figures);
    EXPECT_NE (
        text.find ("copperlead_tenant_requests_total{tenant=\"gold\",outcome=\"refused\"} 2"),
        std::string::npos);
    EXPECT_NE (text.find ("{tenant=\"(others)\",outcome=\"passed\"} 3"), std::string::npos);
}

TEST (Milliseconds, AnAgeIsKnownOnlyAfterTheEvent)
{
    const Timestamp now (std::chrono::milliseconds (1000));
    EXPECT_FALSE (mesh::ageInMilliseconds (now, {}));
    EXPECT_EQ (mesh::ageInMilliseconds (now, now - std::chrono::milliseconds (250)), 250.0);
}

} // namespace
} // namespace copperlead::sidecar::test
