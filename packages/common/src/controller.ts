/** Runs one concern of a host on its own timers, using the blackboard. */
export abstract class Controller {
  /** Starts subscriptions and timers. */
  abstract start(): void;
  /** Ends all subscriptions and timers. */
  abstract stop(): void;
}
