#include "tree.h"

#include <algorithm>
#include <vector>

namespace hibiscuspick::gossip_bench {
namespace {

struct TreeNode {
  size_t parent = 0;
  size_t depth = 0;
  std::vector<size_t> children;
  bool dead = false;
  Millis has_at = kNever;
};

// Descends from the root to a node with room; gives the nodes asked.
size_t Join(std::vector<TreeNode>* nodes, size_t child, size_t degree,
            Random* random) {
  size_t asked = 1;
  size_t at = 0;
  while ((*nodes)[at].children.size() >= degree) {
    const auto& children = (*nodes)[at].children;
    at = children[random->Below(children.size())];
    ++asked;
  }
  (*nodes)[at].children.push_back(child);
  (*nodes)[child].parent = at;
  (*nodes)[child].depth = (*nodes)[at].depth + 1;
  return asked;
}

class Tree {
 public:
  Tree(const TreeSetup& setup, Random* random)
      : setup_(setup), random_(random), nodes_(setup.instances) {
    for (size_t i = 1; i < nodes_.size(); ++i) {
      Join(&nodes_, i, setup_.degree, random_);
    }
    for (size_t i = 1; i < nodes_.size(); ++i) {
      nodes_[i].dead = random_->Fraction() < setup_.failed;
    }
  }

  TreeResult Run() {
    Arrive(0, Millis(0));
    // Children stand behind their parents in the vector, so that one pass
    // finds each orphan before its own children.
    for (size_t i = 1; i < nodes_.size(); ++i) {
      if (!nodes_[i].dead && nodes_[i].has_at == kNever) Repair(i);
    }
    Sum();
    return result_;
  }

 private:
  Millis Hop(size_t a, size_t b) {
    const bool near = a % setup_.data_centres == b % setup_.data_centres;
    return Millis((near ? 0.3 : 3.0) + random_->Fraction());
  }

  void Arrive(size_t node, Millis at) {
    nodes_[node].has_at = at;
    for (const size_t it : nodes_[node].children) {
      ++result_.changes;
      if (nodes_[it].dead || random_->Fraction() < setup_.loss) continue;
      Arrive(it, at + Hop(node, it));
    }
  }

  // The change did not come: it is found at the next check-in, with the parent
  // or, if that is dead, after joining again.
  void Repair(size_t node) {
    const Millis check_in = setup_.check_in * random_->Fraction();
    const size_t parent = nodes_[node].parent;
    if (!nodes_[parent].dead) {
      ++result_.changes;
      Arrive(node, Max(nodes_[parent].has_at, check_in) + Hop(node, parent));
      return;
    }
    Millis at = check_in + setup_.timeout;
    // A dead node on the way down costs another timeout; it is reported, which
    // frees its place, and the descent starts anew.
    size_t step = 0;
    for (;;) {
      ++result_.joins;
      at += Hop(node, step) * 2;
      auto& children = nodes_[step].children;
      if (children.size() < setup_.degree) break;
      const size_t next = children[random_->Below(children.size())];
      if (nodes_[next].dead) {
        std::erase(children, next);
        at += setup_.timeout;
        step = 0;
        continue;
      }
      if (nodes_[next].has_at == kNever) break;
      step = next;
    }
    ++result_.changes;
    Arrive(node, at);
  }

  void Sum() {
    std::vector<Millis> times;
    for (const auto& it : nodes_) {
      result_.depth = std::max(result_.depth, it.depth);
      if (!it.dead) times.push_back(it.has_at);
    }
    std::sort(times.begin(), times.end());
    result_.half = times[times.size() / 2];
    result_.most = times[times.size() * 99 / 100];
    result_.all = times.back();
  }

  const TreeSetup& setup_;
  Random* const random_;
  std::vector<TreeNode> nodes_;
  TreeResult result_;
};

}  // namespace

TreeResult RunTree(const TreeSetup& setup, Random* random) {
  return Tree(setup, random).Run();
}

}  // namespace hibiscuspick::gossip_bench
