package org.mulleinshift.protocol;

/** Thrown when a received message does not follow the protocol; the text names the error. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace: the fault is in the message, not in this code. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
