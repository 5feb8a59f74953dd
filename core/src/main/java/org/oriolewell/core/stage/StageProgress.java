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
 * <p>A stage may start when all stages whose results it reads are done. A stage whose results are
 * read only by the request itself is delayed, so that its results don't occupy space while longer
 * chains of stages still run: it starts once every other chain is expected to need no more time
 * than this stage.
 *
 * <p>Not thread-safe.
 */
public final class StageProgress {
  /** Forecast of the time that each stage of a request takes. */
  @FunctionalInterface
  public interface StageTimes {
    /**
     * Returns the expected time in milliseconds from submitting a stage until its results exist.
     *
     * @param stage index of the stage in its route
     * @param offsetMillis time from now until the stage is submitted, in milliseconds
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
  private final int[] missingResults;
  private final long[] startedAt;
  private final Map<String, String> serviceByHandle = new HashMap<>();

  private StageProgress(List<StageSpec> stages, int[] pieces) {
    this.stages = List.copyOf(stages);
    this.pieces = pieces.clone();
    this.states = new State[stages.size()];
    this.handles = new String[stages.size()][];
    this.missingResults = new int[stages.size()];
    this.startedAt = new long[stages.size()];
    for (int i = 0; i < stages.size(); i++) {
      handles[i] = new String[this.pieces[i]];
      missingResults[i] = this.pieces[i];
      states[i] = this.pieces[i] == 0 ? State.DONE : State.WAITING;
    }
  }

  /**
   * Returns the progress of a request of which no stage has started.
   *
   * @param stages stages of the route, by index
   * @param pieces number of pieces of each stage, by index; a stage with 0 pieces is skipped
   * @throws IllegalArgumentException if there isn't one number of pieces for each stage
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
   * Returns the stages that the caller has to start now, and marks them as running.
   *
   * @param times forecast of the time that each stage takes
   * @param now monotonic time in nanoseconds
   */
  public List<StageSpec> startReadyStages(StageTimes times, long now) {
    List<StageSpec> started = new ArrayList<>();
    for (StageSpec stage : stages) {
      if (states[stage.index()] == State.WAITING && inputsDone(stage)) {
        double ownMillis = times.expectedMillis(stage.index(), 0);
        if (isReadByStage(stage.index())
            || longestOtherChainMillis(stage.index(), times, now) <= ownMillis) {
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
   * Returns the time in milliseconds after which a delayed stage becomes due in {@link
   * #startReadyStages}, unless a stage ends earlier; negative if no stage is delayed.
   *
   * @param times forecast of the time that each stage takes
   * @param now monotonic time in nanoseconds
   */
  public double nextStartMillis(StageTimes times, long now) {
    double minWaitMillis = -1;
    for (StageSpec stage : stages) {
      if (states[stage.index()] == State.WAITING
          && inputsDone(stage)
          && !isReadByStage(stage.index())) {
        double waitMillis =
            longestOtherChainMillis(stage.index(), times, now)
                - times.expectedMillis(stage.index(), 0);
        minWaitMillis =
            minWaitMillis < 0
                ? Math.max(0, waitMillis)
                : Math.min(minWaitMillis, Math.max(0, waitMillis));
      }
    }
    return minWaitMillis;
  }

  private boolean inputsDone(StageSpec stage) {
    return stage.inputStages().stream().allMatch(inputStage -> states[inputStage] == State.DONE);
  }

  private boolean isReadByStage(int index) {
    return stages.stream()
        .anyMatch(stage -> stage.inputStages().contains(index) && pieces[stage.index()] > 0);
  }

  private double longestOtherChainMillis(int index, StageTimes times, long now) {
    StageTimes remainingTimes =
        (stage, offsetMillis) -> {
          double elapsedMillis =
              states[stage] == State.RUNNING ? (now - startedAt[stage]) / 1e6 : 0;
          return Math.max(0, times.expectedMillis(stage, offsetMillis) - elapsedMillis);
        };
    double longestMillis = 0;
    for (StageSpec stage : stages) {
      if (stage.index() != index && hasUnstartedStage(stage.index())) {
        longestMillis = Math.max(longestMillis, chainMillis(stage.index(), 0, remainingTimes));
      }
    }
    return longestMillis;
  }

  /** Returns whether a stage, or a later stage that reads its results, has yet to start. */
  private boolean hasUnstartedStage(int index) {
    return states[index] == State.WAITING
        || stages.stream()
            .anyMatch(
                stage -> stage.inputStages().contains(index) && hasUnstartedStage(stage.index()));
  }

  /** Returns the expected milliseconds until a stage and all that depend on it are done. */
  private double chainMillis(int index, double offsetMillis, StageTimes times) {
    if (states[index] == State.DONE) {
      return 0;
    }
    double ownMillis = times.expectedMillis(index, offsetMillis);
    double afterMillis = 0;
    for (StageSpec stage : stages) {
      if (stage.inputStages().contains(index)) {
        afterMillis =
            Math.max(afterMillis, chainMillis(stage.index(), offsetMillis + ownMillis, times));
      }
    }
    return ownMillis + afterMillis;
  }

  /** Returns the expected time in milliseconds until all stages of the request are done. */
  public double remainingMillis(StageTimes times) {
    double longestMillis = 0;
    for (StageSpec stage : stages) {
      if (stage.inputStages().stream().allMatch(inputStage -> states[inputStage] == State.DONE)) {
        longestMillis = Math.max(longestMillis, chainMillis(stage.index(), 0, times));
      }
    }
    return longestMillis;
  }

  /**
   * Returns the expected time in milliseconds from the end of a stage that starts now until all
   * stages that depend on it are done.
   */
  public double remainingMillisAfter(int index, StageTimes times) {
    double ownMillis = times.expectedMillis(index, 0);
    double afterMillis = 0;
    for (StageSpec stage : stages) {
      if (stage.inputStages().contains(index)) {
        afterMillis = Math.max(afterMillis, chainMillis(stage.index(), ownMillis, times));
      }
    }
    return afterMillis;
  }

  /** Returns the numbers of a stage's pieces that have no result yet. */
  public List<Integer> missingPieces(int index) {
    List<Integer> missingPieces = new ArrayList<>();
    for (int piece = 0; piece < pieces[index]; piece++) {
      if (handles[index][piece] == null) {
        missingPieces.add(piece);
      }
    }
    return missingPieces;
  }

  /**
   * Records the result of one piece of a stage.
   *
   * @return whether the result was missing; false for a second result of the same piece
   */
  public boolean recordResult(int index, int piece, String handle) {
    if (index >= handles.length
        || piece >= handles[index].length
        || handles[index][piece] != null) {
      return false;
    }
    handles[index][piece] = handle;
    serviceByHandle.put(handle, stages.get(index).service());
    if (--missingResults[index] == 0) {
      states[index] = State.DONE;
    }
    return true;
  }

  /**
   * Returns the service whose upstream produced a result.
   *
   * @throws IllegalArgumentException if the request has no result with this handle
   */
  public String serviceOf(String handle) {
    String service = serviceByHandle.get(handle);
    if (service == null) {
      throw new IllegalArgumentException("the request has no result " + handle);
    }
    return service;
  }

  /** Returns whether all stages of the request are done. */
  public boolean allDone() {
    for (State state : states) {
      if (state != State.DONE) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a stage is done or has no pieces. */
  public boolean isDone(int index) {
    return states[index] == State.DONE;
  }

  /** Returns the handles of a stage's results; empty if some are missing or were freed. */
  public List<String> resultHandles(int index) {
    return isDone(index) ? List.of(handles[index]) : List.of();
  }

  /** Returns whether only the request itself, and no other stage, reads a stage's results. */
  public boolean isReadOnlyByRequest(int index) {
    return stages.stream().noneMatch(stage -> stage.inputStages().contains(index));
  }

  /** Returns the handles of the results that a stage reads, ordered by stage and piece. */
  public List<String> inputHandles(StageSpec stage) {
    List<String> inputs = new ArrayList<>();
    stage.inputStages().forEach(inputStage -> inputs.addAll(List.of(handles[inputStage])));
    return inputs;
  }

  /** Returns handles of the results that the request reads: those that no other stage reads. */
  public List<String> requestInputHandles() {
    List<String> inputs = new ArrayList<>();
    Set<Integer> readByStages = new HashSet<>();
    stages.forEach(stage -> readByStages.addAll(stage.inputStages()));
    for (StageSpec stage : stages) {
      if (!readByStages.contains(stage.index())) {
        inputs.addAll(List.of(handles[stage.index()]));
      }
    }
    return inputs;
  }

  /** Returns and forgets the handles of results that all stages reading them have consumed. */
  public List<String> takeConsumedHandles() {
    List<String> consumed = new ArrayList<>();
    for (StageSpec stage : stages) {
      int index = stage.index();
      boolean isRead = stages.stream().anyMatch(reader -> reader.inputStages().contains(index));
      boolean readersDone =
          stages.stream()
              .filter(reader -> reader.inputStages().contains(index))
              .allMatch(reader -> states[reader.index()] == State.DONE);
      if (isRead && readersDone && states[index] == State.DONE && handles[index].length > 0) {
        consumed.addAll(List.of(handles[index]));
        handles[index] = new String[0];
      }
    }
    return consumed;
  }

  /** Returns and forgets the handles of all results that were not returned for freeing before. */
  public List<String> takeAllHandles() {
    List<String> unfreed = new ArrayList<>();
    for (int i = 0; i < handles.length; i++) {
      for (String handle : handles[i]) {
        if (handle != null) {
          unfreed.add(handle);
        }
      }
      handles[i] = new String[0];
    }
    return unfreed;
  }
}
