#pragma once

#include "table.h"

#include <vector>

// Judges moves of slots: by the requests that are served more against the time without an owner and the state that is
// handed over. A run that moved stays for a while, and no move takes one back to where it came from.
namespace pistachiospur {

struct JudgePolicy {
    double horizonSeconds = 6; // for how long a load is expected to go on
    double ownerlessSeconds = 0.3; // while a run moves
    double costPerSlot = 0.001; // of the handover, in requests served
    double minGain = 1; // requests served more
    Millis dwell { 2000 }; // a run that moved stays where it is
    Millis memory { 30000 }; // a run does not go back to its previous owner
};

// An owner's load, over the lasting and over the recent window, in requests per second.
struct OwnerStrain {
    double lasting = 0;
    double recent = 0;
    double capacity = 1;
};

// Part of an owner's load, in the same windows.
struct MovedLoad {
    double lasting = 0;
    double recent = 0;
    std::uint32_t slots = 0;
};

// Utilization above which requests of an upstream begin to wait for too long.
constexpr double kKneeUtilization = 0.6;

// Requests per second that an owner answers late or not at all: a growing part beyond the knee, all beyond its
// capacity.
double unservedRate(double load, double capacity);
// Requests served more within the horizon if the load moves, less what the move costs; by the window that promises
// less.
double gainOf(const JudgePolicy&, const OwnerStrain& from, const OwnerStrain& to, const MovedLoad&);

// A run that got a new owner.
struct PastMove {
    SlotId first;
    SlotId last;
    InstanceId from;
    Millis at {};
};

using MoveHistory = std::vector<PastMove>;

// Notes the runs of a move of which `ranges` states the owners before it.
void noteMove(MoveHistory&, const std::vector<Range>& ranges, SlotId first, SlotId last, Millis now);
void forgetOldMoves(MoveHistory&, const JudgePolicy&, Millis now);
// Whether a move would take any slot back to an owner that it was moved from.
bool undoesMove(const MoveHistory&, SlotId first, SlotId last, const InstanceId& to);
// Whether the run contains a slot that was moved within the dwell time.
bool dwells(const MoveHistory&, const JudgePolicy&, SlotId first, SlotId last, Millis now);

} // namespace pistachiospur
