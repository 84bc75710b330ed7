import { createMachine, interpret, state, transition } from 'robot3'

/** Phases of an entry process. */
export const EntryPhase = { Starting: 'starting', Serving: 'serving', Draining: 'draining', Stopped: 'stopped' } as const
export type EntryPhase = typeof EntryPhase[keyof typeof EntryPhase]

const entryMachine = createMachine({
  starting: state(transition('ready', 'serving'), transition('drain', 'draining'), transition('stop', 'stopped')),
  serving: state(transition('drain', 'draining'), transition('stop', 'stopped')),
  draining: state(transition('stop', 'stopped')),
  stopped: state()
})

/** Events that change the phase of an entry process. */
export type EntryEvent = 'ready' | 'drain' | 'stop'

/** State machine of the phases of an entry process. A phase that was left is never entered again. */
export class EntryLifecycle {
  private readonly service

  private constructor (private readonly onChange: (phase: EntryPhase) => void) {
    this.service = interpret(entryMachine, () => this.onChange(this.phase))
  }

  static create (onChange: (phase: EntryPhase) => void): EntryLifecycle {
    return new EntryLifecycle(onChange)
  }

  get phase (): EntryPhase {
    return this.service.machine.current as EntryPhase
  }

  /** Sends an event. An event that is not valid in the current phase is ignored. */
  send (event: EntryEvent): void {
    this.service.send(event)
  }
}
