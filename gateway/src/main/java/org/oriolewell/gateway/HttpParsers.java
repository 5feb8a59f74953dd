package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpParser;

/**
 * Creates parsers of HTTP/1.1 messages that keep header values as they were sent. By default a
 * parser compares a header with earlier ones of its connection, and with common ones, without
 * regard to case, and returns the value that it knows.
 */
final class HttpParsers {
  private HttpParsers() {}

  /**
   * Returns a parser of requests.
   *
   * @param maxHeadBytes largest accepted head of a request, in bytes
   */
  static HttpParser forRequests(HttpParser.RequestHandler handler, int maxHeadBytes) {
    return keepingValues(new HttpParser(handler, maxHeadBytes));
  }

  /**
   * Returns a parser of answers.
   *
   * @param maxHeadBytes largest accepted head of an answer, in bytes
   */
  static HttpParser forAnswers(HttpParser.ResponseHandler handler, int maxHeadBytes) {
    return keepingValues(new HttpParser(handler, maxHeadBytes));
  }

  private static HttpParser keepingValues(HttpParser parser) {
    parser.setHeaderCacheCaseSensitive(true);
    return parser;
  }
}
