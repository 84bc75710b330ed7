import { createMachine, interpret, state, transition } from 'robot3'

/** State of an upstream as decided by the ejection owner of its pool. */
export const EjectionState = { InService: 'inService', Ejected: 'ejected', Trial: 'trial' } as const
export type EjectionState = typeof EjectionState[keyof typeof EjectionState]

/** Events that change the state of an upstream. */
export type EjectionEvent = 'eject' | 'try' | 'relapse' | 'recover' | 'release'

const ejectionMachine = createMachine('inService', {
  inService: state(transition('eject', 'ejected')),
  ejected: state(transition('try', 'trial'), transition('release', 'inService')),
  trial: state(transition('relapse', 'ejected'), transition('recover', 'inService'), transition('release', 'inService'))
})

/** State machine for the ejection of one upstream. */
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
