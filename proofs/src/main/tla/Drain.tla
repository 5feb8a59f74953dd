------------------------------- MODULE Drain -------------------------------
(* Drain and stop of an agent: once the agent has learned of the drain, it    *)
(* starts no new call, and it exits only when no call is in flight. It learns *)
(* of the drain from peers, the host list or its own operator within Bound    *)
(* time steps, even if the host list lags or the store is unreachable.        *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Calls, Bound,
  CloseGate,      \* guard: a draining agent refuses new calls
  WaitInFlight,   \* guard: the agent exits only when no call is in flight
  LearnFromPeers  \* guard: the agent learns of the drain from peers too

VARIABLES drainRequested, elapsedSteps, agentState, callState, startedAfterBound, callInterrupted

vars == <<drainRequested, elapsedSteps, agentState, callState, startedAfterBound, callInterrupted>>

Init ==
  /\ drainRequested = FALSE
  /\ elapsedSteps = 0
  /\ agentState = "serving"
  /\ callState = [c \in Calls |-> "new"]
  /\ startedAfterBound = FALSE
  /\ callInterrupted = FALSE

\* An operator requests the drain of the agent.
RequestDrain ==
  /\ ~drainRequested
  /\ drainRequested' = TRUE
  /\ UNCHANGED <<elapsedSteps, agentState, callState, startedAfterBound, callInterrupted>>

\* The agent learns of the drain request.
LearnOfDrain ==
  /\ drainRequested
  /\ agentState = "serving"
  /\ agentState' = "draining"
  /\ UNCHANGED <<drainRequested, elapsedSteps, callState, startedAfterBound, callInterrupted>>

\* A time step passes. A peer's heartbeat announces the drain before Bound ends; the host list may
\* be wrong.
PassTime ==
  /\ drainRequested
  /\ elapsedSteps <= Bound
  /\ (LearnFromPeers /\ elapsedSteps = Bound) => agentState # "serving"
  /\ elapsedSteps' = elapsedSteps + 1
  /\ UNCHANGED <<drainRequested, agentState, callState, startedAfterBound, callInterrupted>>

\* The agent starts a new call.
StartCall(c) ==
  /\ callState[c] = "new"
  /\ agentState \in {"serving", "draining"}
  /\ CloseGate => agentState = "serving"
  /\ callState' = [callState EXCEPT ![c] = "running"]
  /\ startedAfterBound' = (startedAfterBound \/ elapsedSteps > Bound)
  /\ UNCHANGED <<drainRequested, elapsedSteps, agentState, callInterrupted>>

\* The agent refuses a new call.
RefuseCall(c) ==
  /\ callState[c] = "new"
  /\ agentState \in {"draining", "stopped"}
  /\ callState' = [callState EXCEPT ![c] = "refused"]
  /\ UNCHANGED <<drainRequested, elapsedSteps, agentState, startedAfterBound, callInterrupted>>

\* A running call ends with an answer.
FinishCall(c) ==
  /\ callState[c] = "running"
  /\ agentState # "stopped"
  /\ callState' = [callState EXCEPT ![c] = "answered"]
  /\ UNCHANGED <<drainRequested, elapsedSteps, agentState, startedAfterBound, callInterrupted>>

\* The draining agent exits.
Stop ==
  /\ agentState = "draining"
  /\ WaitInFlight => \A c \in Calls : callState[c] # "running"
  /\ agentState' = "stopped"
  /\ callInterrupted' = (\E c \in Calls : callState[c] = "running")
  /\ UNCHANGED <<drainRequested, elapsedSteps, callState, startedAfterBound>>

Next ==
  \/ RequestDrain \/ LearnOfDrain \/ PassTime \/ Stop
  \/ \E c \in Calls : StartCall(c) \/ RefuseCall(c) \/ FinishCall(c)

Spec == Init /\ [][Next]_vars

\* Invariant: no call started later than Bound time steps after the drain request.
NoNewWorkAfterBound == ~startedAfterBound

\* Invariant: the agent did not exit while a call was running.
NothingIsCutOff == ~callInterrupted
=============================================================================
