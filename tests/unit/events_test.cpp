/// \file
/// Tests that docs/EVENTS.md lists exactly the events of the catalogue.

#define BOOST_TEST_MODULE events
#include "core/event_catalog.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace lagoonhitch {

BOOST_AUTO_TEST_CASE(CatalogueIsDocumented) {
  std::ifstream Source(LAGOONHITCH_EVENTS_PAGE);
  BOOST_REQUIRE(Source.good());
  std::stringstream Text;
  Text << Source.rdbuf();
  const std::string Page = Text.str();
  std::size_t Rows = 0;
  for (const EventInfo &Info : eventCatalog()) {
    const std::string Row = "| " +
                            std::to_string(static_cast<unsigned>(Info.Id_)) +
                            " | " + Info.Name_ + " |";
    BOOST_TEST(Page.find(Row) != std::string::npos, "missing row: " << Row);
    ++Rows;
  }
  std::size_t Documented = 0;
  std::istringstream Lines(Page);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.size() > 2 && Line.starts_with("| ") && std::isdigit(Line[2]))
      ++Documented;
  BOOST_TEST(Documented == Rows);
}

} // namespace lagoonhitch
