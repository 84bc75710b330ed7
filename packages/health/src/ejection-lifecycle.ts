import { createMachine, interpret, state, transition } from 'robot3'

/** What the home of a pool has decided about an upstream. */
export const EjectionState = { InService: 'inService', Ejected: 'ejected', Trial: 'trial' } as const
export type EjectionState = typeof EjectionState[keyof typeof EjectionState]

/** What happens to an upstream that may be ejected. */
export type EjectionEvent = 'eject' | 'try' | 'relapse' | 'recover' | 'release'

const ejectionMachine = createMachine('inService', {
  inService: state(transition('eject', 'ejected')),
  ejected: state(transition('try', 'trial'), transition('release', 'inService')),
  trial: state(transition('relapse', 'ejected'), transition('recover', 'inService'), transition('release', 'inService'))
})

/** The lifecycle of one upstream in the eyes of its pool's home. */
export class EjectionLifecycle {
  private readonly service = interpret(ejectionMachine, () => undefined)

  static create (): EjectionLifecycle {
    return new EjectionLifecycle()
  }

  state (): EjectionState {
    return this.service.machine.current as EjectionState
  }

  send (event: EjectionEvent): void {
    this.service.send(event)
  }
}
