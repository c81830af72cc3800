package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import org.mulleinshift.protocol.MalformedMessageException;

/** Stores sets of task indexes as strings of ranges such as {@code 0-7,9}. */
final class TaskIndexRanges {
  private TaskIndexRanges() {}

  static String write(BitSet set) {
    StringBuilder text = new StringBuilder();
    for (int from = set.nextSetBit(0); from >= 0; ) {
      int end = set.nextClearBit(from);
      if (text.length() > 0) {
        text.append(',');
      }
      text.append(from);
      if (end - from > 1) {
        text.append('-').append(end - 1);
      }
      from = set.nextSetBit(end);
    }
    return text.toString();
  }

  /**
   * Reads a set of task indexes.
   *
   * @param exclusiveBound all indexes must be below it
   * @throws MalformedMessageException if the node is not a valid string of ranges
   */
  static BitSet read(JsonNode node, int exclusiveBound) throws MalformedMessageException {
    try {
      BitSet set = node.isTextual() ? parse(node.asText()) : null;
      if (set != null && set.length() <= exclusiveBound) {
        return set;
      }
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a valid set of task indexes: " + node);
    }
    throw new MalformedMessageException("not a valid set of task indexes: " + node);
  }

  private static BitSet parse(String text) {
    BitSet set = new BitSet();
    if (text.isEmpty()) {
      return set;
    }
    for (String part : text.split(",", 0)) {
      int dash = part.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int last = dash < 0 ? from : Integer.parseInt(part.substring(dash + 1));
      if (last < from) {
        throw new IllegalArgumentException("range ends before it starts: " + part);
      }
      set.set(from, last + 1);
    }
    return set;
  }
}
