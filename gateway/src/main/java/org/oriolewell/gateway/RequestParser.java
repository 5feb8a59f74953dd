package org.oriolewell.gateway;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpParser;

/** Parses the input of one connection, and follows changes of the limit on heads. */
final class RequestParser {
  private final RequestAssembler assembler;
  private final CallerInput input;
  private int maxHeaderBytes;
  private HttpParser parser;

  RequestParser(RequestAssembler assembler, CallerInput input, int maxHeaderBytes) {
    this.assembler = assembler;
    this.input = input;
    this.maxHeaderBytes = maxHeaderBytes;
    this.parser = HttpParsers.forRequests(assembler, maxHeaderBytes);
  }

  /**
   * Parses input until there is none, or a condition no longer holds.
   *
   * @param newMaxHeaderBytes limit on the next head, which an existing parser can't take over
   * @param mayParse whether more may be parsed
   */
  void parse(int newMaxHeaderBytes, BooleanSupplier mayParse) {
    if (newMaxHeaderBytes != maxHeaderBytes && parser.isStart()) {
      maxHeaderBytes = newMaxHeaderBytes;
      parser = HttpParsers.forRequests(assembler, newMaxHeaderBytes);
    }
    while (!input.empty() && mayParse.getAsBoolean()) {
      int unparsedBytes = input.buffer().remaining();
      boolean stopped = parser.parseNext(input.buffer());
      assembler.parsed(unparsedBytes - input.buffer().remaining());
      if (!stopped && input.empty()) {
        return;
      }
    }
  }

  /** Returns whether no further request can be parsed. */
  boolean ended() {
    return parser.isClose() || parser.isClosed();
  }

  /** Prepares for the next request. */
  void reset() {
    parser.reset();
  }
}
