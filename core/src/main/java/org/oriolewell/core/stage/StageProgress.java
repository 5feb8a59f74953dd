package org.oriolewell.core.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oriolewell.core.route.StageSpec;

/**
 * Progress of one request through its stages.
 *
 * <p>A stage may start when the stages that it reads are done. A stage whose results are read only
 * by the request itself is started late, so that its results don't occupy space while longer chains
 * still run: it starts once the rest of every other chain is expected to take no longer than it.
 *
 * <p>Not thread-safe.
 */
public final class StageProgress {
  /** Expected times of stages. */
  @FunctionalInterface
  public interface StageTimes {
    /**
     * Returns the expected time of a stage, from its hand-over to its results.
     *
     * @param stage index of the stage
     * @param offsetMillis time from now until the stage is handed over
     */
    double expectedMillis(int stage, double offsetMillis);
  }

  private enum State {
    WAITING,
    RUNNING,
    DONE
  }

  private final List<StageSpec> stages;
  private final int[] pieces;
  private final State[] states;
  private final String[][] handles;
  private final int[] missing;
  private final long[] startedAt;
  private final Map<String, String> services = new HashMap<>();

  private StageProgress(List<StageSpec> stages, int[] pieces) {
    this.stages = List.copyOf(stages);
    this.pieces = pieces.clone();
    this.states = new State[stages.size()];
    this.handles = new String[stages.size()][];
    this.missing = new int[stages.size()];
    this.startedAt = new long[stages.size()];
    for (int i = 0; i < stages.size(); i++) {
      handles[i] = new String[this.pieces[i]];
      missing[i] = this.pieces[i];
      states[i] = this.pieces[i] == 0 ? State.DONE : State.WAITING;
    }
  }

  /**
   * Returns the progress of a request that has not begun.
   *
   * @param stages stages of the route, by index
   * @param pieces number of pieces of each stage; 0 leaves the stage out
   * @throws IllegalArgumentException if the numbers don't fit the stages
   */
  public static StageProgress of(List<StageSpec> stages, int[] pieces) {
    if (pieces.length != stages.size()) {
      throw new IllegalArgumentException(
          "the request has pieces for "
              + pieces.length
              + " stages, its route has "
              + stages.size()
              + " stages; send one number a stage");
    }
    return new StageProgress(stages, pieces);
  }

  /**
   * Returns the stages to start now, and counts them as running.
   *
   * @param times expected time of each stage
   * @param now monotonic time in nanoseconds
   */
  public List<StageSpec> start(StageTimes times, long now) {
    List<StageSpec> started = new ArrayList<>();
    for (StageSpec stage : stages) {
      if (states[stage.index()] == State.WAITING && inputsDone(stage)) {
        double own = times.expectedMillis(stage.index(), 0);
        if (hasReader(stage.index()) || longestOther(stage.index(), times, now) <= own) {
          started.add(stage);
        }
      }
    }
    for (StageSpec stage : started) {
      states[stage.index()] = State.RUNNING;
      startedAt[stage.index()] = now;
    }
    return started;
  }

  /**
   * Returns the time after which {@link #start} would start another stage, if nothing ends before,
   * in milliseconds; negative if there is none.
   */
  public double nextStartMillis(StageTimes times, long now) {
    double next = -1;
    for (StageSpec stage : stages) {
      if (states[stage.index()] == State.WAITING
          && inputsDone(stage)
          && !hasReader(stage.index())) {
        double wait =
            longestOther(stage.index(), times, now) - times.expectedMillis(stage.index(), 0);
        next = next < 0 ? Math.max(0, wait) : Math.min(next, Math.max(0, wait));
      }
    }
    return next;
  }

  private boolean inputsDone(StageSpec stage) {
    return stage.after().stream().allMatch(before -> states[before] == State.DONE);
  }

  private boolean hasReader(int index) {
    return stages.stream()
        .anyMatch(stage -> stage.after().contains(index) && pieces[stage.index()] > 0);
  }

  private double longestOther(int index, StageTimes times, long now) {
    StageTimes left =
        (stage, offset) -> {
          double elapsed = states[stage] == State.RUNNING ? (now - startedAt[stage]) / 1e6 : 0;
          return Math.max(0, times.expectedMillis(stage, offset) - elapsed);
        };
    double longest = 0;
    for (StageSpec stage : stages) {
      if (stage.index() != index && unstarted(stage.index())) {
        longest = Math.max(longest, remaining(stage.index(), 0, left));
      }
    }
    return longest;
  }

  /** Returns whether a stage, or one that reads its results, waits to be started. */
  private boolean unstarted(int index) {
    return states[index] == State.WAITING
        || stages.stream()
            .anyMatch(stage -> stage.after().contains(index) && unstarted(stage.index()));
  }

  /** Returns the expected time until a stage and what reads it are done. */
  private double remaining(int index, double offsetMillis, StageTimes times) {
    if (states[index] == State.DONE) {
      return 0;
    }
    double own = times.expectedMillis(index, offsetMillis);
    double after = 0;
    for (StageSpec stage : stages) {
      if (stage.after().contains(index)) {
        after = Math.max(after, remaining(stage.index(), offsetMillis + own, times));
      }
    }
    return own + after;
  }

  /** Returns the expected time until all stages are done. */
  public double remainingMillis(StageTimes times) {
    double longest = 0;
    for (StageSpec stage : stages) {
      if (stage.after().stream().allMatch(before -> states[before] == State.DONE)) {
        longest = Math.max(longest, remaining(stage.index(), 0, times));
      }
    }
    return longest;
  }

  /** Returns the expected time of what follows a stage that starts now. */
  public double remainingAfter(int index, StageTimes times) {
    double own = times.expectedMillis(index, 0);
    double after = 0;
    for (StageSpec stage : stages) {
      if (stage.after().contains(index)) {
        after = Math.max(after, remaining(stage.index(), own, times));
      }
    }
    return after;
  }

  /** Returns the numbers of the pieces of a stage that have no result. */
  public List<Integer> missingPieces(int index) {
    List<Integer> open = new ArrayList<>();
    for (int piece = 0; piece < pieces[index]; piece++) {
      if (handles[index][piece] == null) {
        open.add(piece);
      }
    }
    return open;
  }

  /**
   * Records a result.
   *
   * @return whether it was missing; false for a second result of the same piece
   */
  public boolean done(int index, int piece, String handle) {
    if (index >= handles.length
        || piece >= handles[index].length
        || handles[index][piece] != null) {
      return false;
    }
    handles[index][piece] = handle;
    services.put(handle, stages.get(index).service());
    if (--missing[index] == 0) {
      states[index] = State.DONE;
    }
    return true;
  }

  /**
   * Returns the service that made a result.
   *
   * @throws IllegalArgumentException if this request has no such result
   */
  public String serviceOf(String handle) {
    String service = services.get(handle);
    if (service == null) {
      throw new IllegalArgumentException("the request has no result " + handle);
    }
    return service;
  }

  /** Returns whether all stages are done. */
  public boolean complete() {
    for (State state : states) {
      if (state != State.DONE) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a stage is left out or done. */
  public boolean isDone(int index) {
    return states[index] == State.DONE;
  }

  /** Returns the handles of a stage's results; none if they were freed or are not all made. */
  public List<String> handles(int index) {
    return isDone(index) ? List.of(handles[index]) : List.of();
  }

  /** Returns whether the request itself reads a stage's results, and no other stage does. */
  public boolean readByRequest(int index) {
    return stages.stream().noneMatch(stage -> stage.after().contains(index));
  }

  /** Returns the handles that a stage reads, by stage and piece. */
  public List<String> inputs(StageSpec stage) {
    List<String> inputs = new ArrayList<>();
    stage.after().forEach(before -> inputs.addAll(List.of(handles[before])));
    return inputs;
  }

  /** Returns the handles that the request itself reads: those of stages that no other reads. */
  public List<String> requestInputs() {
    List<String> inputs = new ArrayList<>();
    Set<Integer> read = new HashSet<>();
    stages.forEach(stage -> read.addAll(stage.after()));
    for (StageSpec stage : stages) {
      if (!read.contains(stage.index())) {
        inputs.addAll(List.of(handles[stage.index()]));
      }
    }
    return inputs;
  }

  /** Returns results that are no longer read: those of stages whose readers are all done. */
  public List<String> takeConsumed() {
    List<String> consumed = new ArrayList<>();
    for (StageSpec stage : stages) {
      int index = stage.index();
      boolean read = stages.stream().anyMatch(other -> other.after().contains(index));
      boolean readersDone =
          stages.stream()
              .filter(other -> other.after().contains(index))
              .allMatch(other -> states[other.index()] == State.DONE);
      if (read && readersDone && states[index] == State.DONE && handles[index].length > 0) {
        consumed.addAll(List.of(handles[index]));
        handles[index] = new String[0];
      }
    }
    return consumed;
  }

  /** Returns all results that were not taken yet, and forgets them. */
  public List<String> takeAll() {
    List<String> all = new ArrayList<>();
    for (int i = 0; i < handles.length; i++) {
      for (String handle : handles[i]) {
        if (handle != null) {
          all.add(handle);
        }
      }
      handles[i] = new String[0];
    }
    return all;
  }
}
