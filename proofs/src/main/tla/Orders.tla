------------------------------- MODULE Orders -------------------------------
(* Orders to one engine: a holder's order that is older than one the engine   *)
(* has taken must not change the engine. Holders get fencing tokens from the  *)
(* store by compare-and-set; a paused holder may send at any time.            *)
(* An engine that ignores tokens refuses an order whose expected state is not *)
(* the engine's; that is enough only if a state never returns.                *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Holders, MaxToken, States,
  EngineChecks,      \* the engine refuses an old fencing token
  NameExpected,      \* guard: an order names the state that it expects
  StatesNeverReturn  \* assumption on what is ordered

VARIABLES token, holder, orders, engine, stale

vars == <<token, holder, orders, engine, stale>>

Init ==
  /\ token = 0
  /\ holder = [h \in Holders |-> 0]
  /\ orders = {}
  /\ engine = [state |-> 0, token |-> 0]
  /\ stale = FALSE

Acquire(h) ==
  /\ token < MaxToken
  /\ token' = token + 1
  /\ holder' = [holder EXCEPT ![h] = token + 1]
  /\ UNCHANGED <<orders, engine, stale>>

\* A holder reads the engine's state and orders another one.
Order(h, s) ==
  /\ holder[h] > 0
  /\ s # engine.state
  /\ StatesNeverReturn => s > engine.state
  /\ \A o \in orders : o.token # holder[h] \/ o.done
  /\ orders' = orders \cup
       {[token |-> holder[h], expected |-> engine.state, state |-> s, done |-> FALSE]}
  /\ UNCHANGED <<token, holder, engine, stale>>

Receive(o) ==
  /\ ~o.done
  /\ orders' = (orders \ {o}) \cup {[o EXCEPT !.done = TRUE]}
  /\ IF /\ EngineChecks => o.token >= engine.token
        /\ NameExpected => o.expected = engine.state
     THEN /\ engine' = [state |-> o.state,
                        token |-> IF o.token > engine.token THEN o.token ELSE engine.token]
          /\ stale' = (stale \/ o.token < engine.token)
     ELSE UNCHANGED <<engine, stale>>
  /\ UNCHANGED <<token, holder>>

Next ==
  \/ \E h \in Holders : Acquire(h) \/ \E s \in States : Order(h, s)
  \/ \E o \in orders : Receive(o)

Spec == Init /\ [][Next]_vars

NoStaleEffect == ~stale
=============================================================================
