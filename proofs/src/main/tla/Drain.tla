------------------------------- MODULE Drain -------------------------------
(* Drain and planned stop of an agent: after the agent learned of the drain   *)
(* it starts nothing new, and it exits only when nothing is in flight. It     *)
(* learns from peers, the host list or its own operator within Bound steps of *)
(* time, also while the host list lags or the store is away.                  *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Calls, Bound,
  CloseGate,      \* guard: a draining agent refuses new calls
  WaitInFlight,   \* guard: the agent exits only when nothing is in flight
  LearnFromPeers  \* guard: peers tell of the drain, not the host list alone

VARIABLES commanded, elapsed, agent, call, lateStart, cut

vars == <<commanded, elapsed, agent, call, lateStart, cut>>

Init ==
  /\ commanded = FALSE
  /\ elapsed = 0
  /\ agent = "serving"
  /\ call = [c \in Calls |-> "new"]
  /\ lateStart = FALSE
  /\ cut = FALSE

Command ==
  /\ ~commanded
  /\ commanded' = TRUE
  /\ UNCHANGED <<elapsed, agent, call, lateStart, cut>>

Learn ==
  /\ commanded
  /\ agent = "serving"
  /\ agent' = "draining"
  /\ UNCHANGED <<commanded, elapsed, call, lateStart, cut>>

\* Time passes. A peer's heartbeat tells of the drain before the bound ends; the host list may lie.
Pass ==
  /\ commanded
  /\ elapsed <= Bound
  /\ (LearnFromPeers /\ elapsed = Bound) => agent # "serving"
  /\ elapsed' = elapsed + 1
  /\ UNCHANGED <<commanded, agent, call, lateStart, cut>>

Start(c) ==
  /\ call[c] = "new"
  /\ agent \in {"serving", "draining"}
  /\ CloseGate => agent = "serving"
  /\ call' = [call EXCEPT ![c] = "running"]
  /\ lateStart' = (lateStart \/ elapsed > Bound)
  /\ UNCHANGED <<commanded, elapsed, agent, cut>>

Refuse(c) ==
  /\ call[c] = "new"
  /\ agent \in {"draining", "stopped"}
  /\ call' = [call EXCEPT ![c] = "refused"]
  /\ UNCHANGED <<commanded, elapsed, agent, lateStart, cut>>

Finish(c) ==
  /\ call[c] = "running"
  /\ agent # "stopped"
  /\ call' = [call EXCEPT ![c] = "answered"]
  /\ UNCHANGED <<commanded, elapsed, agent, lateStart, cut>>

Stop ==
  /\ agent = "draining"
  /\ WaitInFlight => \A c \in Calls : call[c] # "running"
  /\ agent' = "stopped"
  /\ cut' = (\E c \in Calls : call[c] = "running")
  /\ UNCHANGED <<commanded, elapsed, call, lateStart>>

Next ==
  \/ Command \/ Learn \/ Pass \/ Stop
  \/ \E c \in Calls : Start(c) \/ Refuse(c) \/ Finish(c)

Spec == Init /\ [][Next]_vars

NoNewWorkAfterBound == ~lateStart

NothingIsCutOff == ~cut
=============================================================================
