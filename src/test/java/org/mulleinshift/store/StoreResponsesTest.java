package org.mulleinshift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.store.KeyValueStore.CommitResult;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.transport.HttpResponse;

/** Checks whether a response means that a call was carried out, was not, or is unknown. */
class StoreResponsesTest {
  private static ReadResult<String> read(int status) {
    return StoreResponses.toReadResult(new HttpResponse(status, "value"), body -> body);
  }

  private static CommitResult commit(int status, String body) {
    return StoreResponses.toCommitResult(new HttpResponse(status, body));
  }

  @Test
  void aSuccessfulReadHasAValue() {
    assertEquals(new ReadResult.Found<>("value"), read(200));
  }

  @Test
  void aMalformedBodyLeavesTheResultUnknown() {
    ReadResult<String> result =
        StoreResponses.toReadResult(
            new HttpResponse(200, "value"),
            body -> {
              throw new MalformedMessageException("not a value");
            });
    assertEquals(new ReadResult.Unknown<String>(), result);
    assertEquals(new CommitResult.Unknown(), commit(200, "[]"));
  }

  @ParameterizedTest
  @ValueSource(ints = {404, 410, HttpResponse.TOO_LONG})
  void absenceIsCertain(int status) {
    assertEquals(new ReadResult.Absent<String>(), read(status));
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void aRefusedReadWasNotCarriedOut(int status) {
    assertEquals(new ReadResult.Refused<String>(), read(status));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 500, 504})
  void otherwiseNothingIsKnown(int status) {
    assertEquals(new ReadResult.Unknown<String>(), read(status));
    assertEquals(new CommitResult.Unknown(), commit(status, ""));
  }

  @ParameterizedTest
  @CsvSource({"409,Conflict", "429,Busy", "503,Refused", "0,Unknown"})
  void theStatusOfACommitDecides(int status, String expected) {
    assertEquals(expected, commit(status, "").getClass().getSimpleName());
  }

  @Test
  void anExpiredLeaseIsToldFromOtherRejections() {
    assertEquals(new CommitResult.LeaseExpired(), commit(400, "{\"error\":\"no such lease\"}"));
    assertInstanceOf(CommitResult.Rejected.class, commit(400, "{\"error\":\"too long\"}"));
  }

  @ParameterizedTest
  @CsvSource({"200,true", "429,true", "503,false", "0,false"})
  void aRefusalAboveTheRateCountsAsServed(int status, boolean served) {
    assertEquals(served, StoreResponses.isServed(new HttpResponse(status, "")));
  }
}
