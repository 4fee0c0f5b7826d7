// Draws configurations without contradictions, for seeded tests.
#ifndef MANGOSPAN_CONFIG_RANDOM_DOCUMENT_FOR_TEST_H
#define MANGOSPAN_CONFIG_RANDOM_DOCUMENT_FOR_TEST_H

#include <random>

#include "mangospan/config/document.h"

namespace mangospan::config {

document
DrawDocument(std::mt19937_64& aRandom);

// A copy with one or a few changes.
document
DrawChanged(const document& aDocument, std::mt19937_64& aRandom);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_RANDOM_DOCUMENT_FOR_TEST_H
