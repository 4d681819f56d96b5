/** A named entry of a {@link Blackboard} with the type of its value. */
export interface Topic<Value> {
  readonly name: string;
  /** The value until the first write. */
  readonly initial: Value;
}

/** Creates a topic; its name must be unique within the process. */
export function createTopic<Value>(
  name: string,
  initial: Value,
): Topic<Value> {
  return { name, initial };
}

/** Receives the new and the previous value after each write. */
export type TopicListener<Value> = (value: Value, previous: Value) => void;

/**
 * Holds the values that the controllers of one process share, by topic.
 * Values are replaced, never mutated in place.
 */
export class Blackboard {
  readonly #values = new Map<string, unknown>();
  readonly #listeners = new Map<string, Set<TopicListener<never>>>();

  read<Value>(topic: Topic<Value>): Value {
    const value = this.#values.get(topic.name) as Value | undefined;
    return value === undefined ? topic.initial : value;
  }

  write<Value>(topic: Topic<Value>, value: Value): void {
    const previous = this.read(topic);
    this.#values.set(topic.name, value);
    for (const listener of this.#listeners.get(topic.name) ?? []) {
      (listener as TopicListener<Value>)(value, previous);
    }
  }

  /** Subscribes to writes of a topic and returns the unsubscribe function. */
  watch<Value>(
    topic: Topic<Value>,
    listener: TopicListener<Value>,
  ): () => void {
    const listeners = this.#listeners.get(topic.name) ?? new Set();
    this.#listeners.set(topic.name, listeners);
    listeners.add(listener as TopicListener<never>);
    return () => listeners.delete(listener as TopicListener<never>);
  }
}
