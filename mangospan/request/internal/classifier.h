// Finds the work class of a request in the operators' configuration.
//
//   classifier classes(document);
//   classification found = classes.Classify(arrival);
//   if (found.mWorkClass == nullptr) {
//     ... refuse the request with found.mRefusalCode ...
//   }
#ifndef MANGOSPAN_REQUEST_INTERNAL_CLASSIFIER_H
#define MANGOSPAN_REQUEST_INTERNAL_CLASSIFIER_H

#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/config/document.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// The work class of a request, or the reason why it has none.
struct classification
{
  // Owned by the classifier; null if no class was found.
  const config::work_class* mWorkClass = nullptr;
  bool mIdempotent = false;
  // The reason for which `mWorkClass` is null.
  refusal_code mRefusalCode = refusal_code::kNoSuchService;
};

// Returns whether HTTP defines the method as idempotent; the name is
// case-sensitive.
bool
IsIdempotentMethod(std::string_view aMethod);

// The work classes of one configuration, by service.
class classifier
{
public:
  classifier() = default;
  explicit classifier(const config::document& aDocument);

  // Returns the class of the request. A class that the caller names must be one
  // of the service's. Without a named class, the class with the longest
  // matching path prefix wins, and of several the first in the configuration;
  // a request that matches none belongs to the service's default class.
  classification Classify(const arrival& aArrival) const;

  // Returns whether a configured pool serves the service.
  bool Serves(const service_name& aService) const;

  // Returns every class, including the default class of each service. The
  // pointers are valid as long as the classifier is neither changed nor gone.
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
