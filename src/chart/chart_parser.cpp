/// Reads charts with Poco::XML and checks them.
#include <Poco/AutoPtr.h>
#include <Poco/DOM/AutoPtr.h>
#include <Poco/DOM/DOMParser.h>
#include <Poco/DOM/Document.h>
#include <Poco/DOM/Element.h>
#include <Poco/DOM/NamedNodeMap.h>
#include <Poco/Exception.h>

#include <algorithm>
#include <optional>

#include "chart/chart.h"

namespace fernmoor {

namespace {

using Poco::XML::Element;
using Poco::XML::Node;

std::vector<Element*> childElements(const Element& parent) {
  std::vector<Element*> children;
  for (Node* child = parent.firstChild(); child != nullptr; child = child->nextSibling()) {
    if (child->nodeType() == Node::ELEMENT_NODE) {
      children.push_back(static_cast<Element*>(child));
    }
  }
  return children;
}

std::optional<uint16_t> indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<uint16_t>(found - names.begin());
}

}  // namespace

/// Builds one Chart and collects the faults it meets.
class ChartParser {
 public:
  ChartParser(const std::string& name, const std::vector<std::string>& stateNames,
              const std::vector<std::string>& eventNames) {
    chart_.name_ = name;
    chart_.stateNames_ = stateNames;
    chart_.eventNames_ = eventNames;
    chart_.targets_.assign(stateNames.size() * eventNames.size(), Chart::kNoTarget);
    chart_.final_.assign(stateNames.size(), false);
    declared_.assign(stateNames.size(), false);
    eventUsed_.assign(eventNames.size(), false);
  }

  Result<Chart> parse(const std::string& scxml) {
    try {
      Poco::XML::DOMParser parser;
      const Poco::AutoPtr<Poco::XML::Document> document = parser.parseString(scxml);
      readRoot(*document->documentElement());
    } catch (const Poco::Exception& failure) {
      addFault("is no well-formed XML: " + failure.displayText());
    }
    if (faults_.empty()) {
      checkWhole();
    }
    if (!faults_.empty()) {
      return Error{ErrorKind::kInvalidRequest, "chart " + chart_.name_ + ": " + faults_,
                   RunState::kNotRun, std::nullopt};
    }
    return std::move(chart_);
  }

 private:
  void addFault(const std::string& fault) { faults_ += (faults_.empty() ? "" : "; ") + fault; }

  void checkAttributes(const Element& element, const std::vector<std::string>& allowed) {
    const Poco::AutoPtr<Poco::XML::NamedNodeMap> attributes = element.attributes();
    for (unsigned long i = 0; i < attributes->length(); ++i) {
      const std::string attribute = attributes->item(i)->nodeName();
      if (std::find(allowed.begin(), allowed.end(), attribute) == allowed.end()) {
        addFault("attribute " + attribute + " of <" + element.tagName() + "> is not supported");
      }
    }
  }

  void readRoot(const Element& root) {
    if (root.tagName() != "scxml") {
      addFault("root element is <" + root.tagName() + ">, not <scxml>");
      return;
    }
    checkAttributes(root, {"xmlns", "version", "name", "initial"});
    if (root.getAttribute("name") != chart_.name_) {
      addFault("name attribute is \"" + root.getAttribute("name") + "\", not the file's name");
    }
    const std::vector<Element*> states = childElements(root);
    for (const Element* state : states) {
      declareState(*state);
    }
    for (const Element* state : states) {
      readTransitions(*state);
    }
    readInitial(root.getAttribute("initial"));
  }

  void declareState(const Element& element) {
    const std::string id = element.getAttribute("id");
    if (element.tagName() != "state" && element.tagName() != "final") {
      addFault("element <" + element.tagName() + "> is not supported");
      return;
    }
    checkAttributes(element, {"id"});
    const auto index = indexOf(chart_.stateNames_, id);
    if (!index) {
      addFault("state \"" + id + "\" is unknown to the code");
      return;
    }
    if (declared_[*index]) {
      addFault("state " + id + " is there twice");
    }
    declared_[*index] = true;
    chart_.final_[*index] = element.tagName() == "final";
  }

  void readTransitions(const Element& state) {
    const auto from = indexOf(chart_.stateNames_, state.getAttribute("id"));
    if (!from) {
      return;
    }
    for (const Element* element : childElements(state)) {
      if (element->tagName() != "transition") {
        addFault("element <" + element->tagName() + "> in a state is not supported");
        continue;
      }
      checkAttributes(*element, {"event", "target"});
      addTransition(*from, element->getAttribute("event"), element->getAttribute("target"));
    }
  }

  void addTransition(uint16_t from, const std::string& event, const std::string& target) {
    const std::string& fromName = chart_.stateNames_[from];
    if (chart_.final_[from]) {
      addFault("final state " + fromName + " has a transition");
      return;
    }
    const auto eventIndex = indexOf(chart_.eventNames_, event);
    const auto to = indexOf(chart_.stateNames_, target);
    if (!eventIndex) {
      addFault("event \"" + event + "\" of state " + fromName + " is unknown to the code");
      return;
    }
    if (!to || !declared_[*to]) {
      addFault("target \"" + target + "\" of state " + fromName + " is no state of the chart");
      return;
    }
    uint16_t& cell = chart_.targets_[from * chart_.eventNames_.size() + *eventIndex];
    if (cell != Chart::kNoTarget) {
      addFault("state " + fromName + " has two transitions for event " + event);
    }
    cell = *to;
    eventUsed_[*eventIndex] = true;
    chart_.transitions_.push_back({fromName, event, target});
  }

  void readInitial(const std::string& initial) {
    const auto index = indexOf(chart_.stateNames_, initial);
    if (!index || !declared_[*index]) {
      addFault("initial state \"" + initial + "\" is no state of the chart");
      return;
    }
    chart_.initial_ = StateIndex(*index);
  }

  void checkWhole() {
    for (size_t state = 0; state < declared_.size(); ++state) {
      if (!declared_[state]) {
        addFault("state " + chart_.stateNames_[state] + " of the code is not in the chart");
      }
    }
    for (size_t event = 0; event < eventUsed_.size(); ++event) {
      if (!eventUsed_[event]) {
        addFault("event " + chart_.eventNames_[event] + " of the code is not in the chart");
      }
    }
    const std::vector<bool> reached = closure(initialSet(), false);
    const std::vector<bool> ending = closure(chart_.final_, true);
    for (size_t state = 0; state < declared_.size(); ++state) {
      if (declared_[state] && !reached[state]) {
        addFault("state " + chart_.stateNames_[state] + " cannot be reached");
      }
      if (declared_[state] && !ending[state]) {
        addFault("no final state can be reached from state " + chart_.stateNames_[state]);
      }
    }
  }

  std::vector<bool> initialSet() const {
    std::vector<bool> states(chart_.stateNames_.size(), false);
    states[chart_.initial_.value()] = true;
    return states;
  }

  /// @return the states that transitions lead to from the given ones (or from which they lead to
  /// the given ones, if backwards), those included.
  std::vector<bool> closure(std::vector<bool> states, bool backwards) const {
    const size_t eventCount = chart_.eventNames_.size();
    bool grew = true;
    while (grew) {
      grew = false;
      for (size_t cell = 0; cell < chart_.targets_.size(); ++cell) {
        if (chart_.targets_[cell] == Chart::kNoTarget) {
          continue;
        }
        const size_t from = backwards ? chart_.targets_[cell] : cell / eventCount;
        const size_t to = backwards ? cell / eventCount : chart_.targets_[cell];
        if (states[from] && !states[to]) {
          states[to] = true;
          grew = true;
        }
      }
    }
    return states;
  }

  Chart chart_;
  std::vector<bool> declared_;
  std::vector<bool> eventUsed_;
  std::string faults_;
};

Result<Chart> Chart::parse(const std::string& name, const std::string& scxml,
                           const std::vector<std::string>& stateNames,
                           const std::vector<std::string>& eventNames) {
  return ChartParser(name, stateNames, eventNames).parse(scxml);
}

}  // namespace fernmoor
