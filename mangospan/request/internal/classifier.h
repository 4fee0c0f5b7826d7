// Finds the class of work of a request in the operators' configuration.
//
//   classifier classes(document);
//   classification found = classes.Classify(arrival);
//   if (found.mWork == nullptr) { refuse with found.mProblem; }
#ifndef MANGOSPAN_REQUEST_INTERNAL_CLASSIFIER_H
#define MANGOSPAN_REQUEST_INTERNAL_CLASSIFIER_H

#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/config/document.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

struct classification
{
  const config::work_class* mWork = nullptr; // owned by the classifier
  bool mIdempotent = false;
  refusal_code mProblem = refusal_code::kNoSuchService; // if there is no class
};

// Whether HTTP defines the method as idempotent.
bool
IsIdempotentMethod(std::string_view aMethod);

class classifier
{
public:
  classifier() = default;
  explicit classifier(const config::document& aDocument);

  // The class that the caller names if it is one of the service's; else the
  // one with the longest matching path prefix, of these the first written.
  // Requests that no class matches belong to the service's default class.
  classification Classify(const arrival& aArrival) const;

  bool Serves(const service_name& aService) const;

  // Every class, the default ones included.
  std::vector<const config::work_class*> Classes() const;

private:
  struct service
  {
    std::vector<config::work_class> mClasses; // longest path prefix first
    config::work_class mDefault;
  };

  std::unordered_map<service_name, service> mServices;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_CLASSIFIER_H
