package org.mulleinshift.store;

import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maps the store's HTTP responses to typed results. A response that cannot be parsed is treated
 * like a missing one: it is unknown whether the request was carried out.
 */
final class StoreResponses {
  private static final Logger LOG = LoggerFactory.getLogger(StoreResponses.class);

  /** The store's error text for a transaction that names an expired lease. */
  private static final String LEASE_EXPIRED_TEXT = "no such lease";

  /** Parses the body of a successful response. */
  @FunctionalInterface
  interface BodyParser<T> {
    T parse(String body) throws MalformedMessageException;
  }

  private StoreResponses() {}

  /** Whether the store responded and is available; a refusal above the rate limit counts. */
  static boolean isServed(HttpResponse response) {
    return response.isReceived() && response.status() != HttpStatus.SERVICE_UNAVAILABLE;
  }

  static boolean isRateLimited(HttpResponse response) {
    return response.status() == HttpStatus.TOO_MANY_REQUESTS;
  }

  /** The result of a call whose response carries a value. */
  static <T> KeyValueStore.ReadResult<T> toReadResult(HttpResponse response, BodyParser<T> parser) {
    return switch (response.status()) {
      case HttpStatus.OK -> parseFound(response, parser);
      // TOO_LONG: more changes than this node accepts in one response; handled like changes that
      // the store no longer keeps.
      case HttpStatus.NOT_FOUND, HttpStatus.GONE, HttpResponse.TOO_LONG ->
          new KeyValueStore.ReadResult.Absent<>();
      case HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE ->
          new KeyValueStore.ReadResult.Refused<>();
      default -> new KeyValueStore.ReadResult.Unknown<>();
    };
  }

  private static <T> KeyValueStore.ReadResult<T> parseFound(
      HttpResponse response, BodyParser<T> parser) {
    try {
      return new KeyValueStore.ReadResult.Found<>(parser.parse(response.body()));
    } catch (MalformedMessageException e) {
      LOG.warn("store response malformed, reason={}", e.getMessage());
      return new KeyValueStore.ReadResult.Unknown<>();
    }
  }

  /** The result of a transaction. */
  static KeyValueStore.CommitResult toCommitResult(HttpResponse response) {
    return switch (response.status()) {
      case HttpStatus.OK -> parseCommitted(response);
      case HttpStatus.CONFLICT -> new KeyValueStore.CommitResult.Conflict();
      case HttpStatus.BAD_REQUEST -> toRejection(response);
      case HttpStatus.TOO_MANY_REQUESTS -> new KeyValueStore.CommitResult.Busy();
      case HttpStatus.SERVICE_UNAVAILABLE -> new KeyValueStore.CommitResult.Refused();
      default -> new KeyValueStore.CommitResult.Unknown();
    };
  }

  private static KeyValueStore.CommitResult parseCommitted(HttpResponse response) {
    try {
      return new KeyValueStore.CommitResult.Committed(StoreCodec.parseRevision(response.body()));
    } catch (MalformedMessageException e) {
      LOG.warn("store response malformed, reason={}", e.getMessage());
      return new KeyValueStore.CommitResult.Unknown();
    }
  }

  private static KeyValueStore.CommitResult toRejection(HttpResponse response) {
    LOG.info("store transaction rejected, reason={}", response.body());
    return response.body().contains(LEASE_EXPIRED_TEXT)
        ? new KeyValueStore.CommitResult.LeaseExpired()
        : new KeyValueStore.CommitResult.Rejected(response.body());
  }
}
