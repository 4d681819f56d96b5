/** A named slot of a {@link Blackboard} with the type of its value. */
export interface Topic<Value> {
  readonly name: string;
  /** The value before anything was written. */
  readonly initial: Value;
}

/** Declares a topic; names are unique within a process. */
export function createTopic<Value>(
  name: string,
  initial: Value,
): Topic<Value> {
  return { name, initial };
}

/** Called after a write with the new and the former value. */
export type TopicListener<Value> = (value: Value, former: Value) => void;

/**
 * The shared memory of the controllers in one process. Controllers know
 * topics, not each other; values are replaced whole, never changed in place.
 */
export class Blackboard {
  readonly #values = new Map<string, unknown>();
  readonly #listeners = new Map<string, Set<TopicListener<never>>>();

  read<Value>(topic: Topic<Value>): Value {
    const value = this.#values.get(topic.name) as Value | undefined;
    return value === undefined ? topic.initial : value;
  }

  write<Value>(topic: Topic<Value>, value: Value): void {
    const former = this.read(topic);
    this.#values.set(topic.name, value);
    for (const listener of this.#listeners.get(topic.name) ?? []) {
      (listener as TopicListener<Value>)(value, former);
    }
  }

  /** Subscribes to writes; the returned function ends the subscription. */
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
