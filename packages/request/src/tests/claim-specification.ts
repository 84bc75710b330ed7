import type { Specification } from '@hickoryspoke/testing/state-explorer'

/** Holders of the modelled claim. A change of epoch replaces holder 0 by holder 3. */
export const HOLDERS = [0, 1, 2, 3] as const
export const FORMER_GROUP: readonly number[] = [0, 1, 2]
export const CURRENT_GROUP: readonly number[] = [1, 2, 3]
const COPIES_NEEDED = 2

interface Holder {
  epoch: 1 | 2
  votes: boolean
  /** Claimant on record; 0 for none, -1 for a copied record, which does not count as a grant. */
  record: number
  copied: number[]
  /** Claimants whose rounds were open when the holder restarted. */
  openRounds: number[]
  lostRecords: boolean
}

interface Claimant {
  phase: 'idle' | 'asking' | 'won' | 'lost'
  epoch: 1 | 2
  grants: number[]
}

/**
 * State of the model. `asks` holds the messages in flight. A holder's reply takes effect at once, because a reply that
 * arrives later permits nothing more.
 */
export interface ClaimState {
  holders: Holder[]
  claimants: Claimant[]
  asks: string[]
  /** The leases of epoch 1 have expired, so that no entry can act on it any more. */
  leasesOver: boolean
  restartsLeft: number
}

/** Rules of the protocol. Tests disable them one by one, to check that the exploration finds the resulting fault. */
export interface ClaimRules {
  readonly majority: number
  readonly copiesBeforeVoting: boolean
  readonly silentAfterRestart: boolean
  readonly newMemberWaitsForLeases: boolean
  readonly copiesGrantNothing: boolean
}

export const CLAIM_RULES: ClaimRules = {
  majority: 2,
  copiesBeforeVoting: true,
  silentAfterRestart: true,
  newMemberWaitsForLeases: true,
  copiesGrantNothing: true
}

interface Step {
  readonly action: string
  readonly state: ClaimState
}

/**
 * Model of the claim protocol with one claim and two claimants. With a change of epoch, the first claimant asks the
 * previous group and the second one the current group.
 */
export function claimSpecification (rules: ClaimRules, restarts: number, changesEpoch: boolean): Specification<ClaimState> {
  return {
    initial: {
      holders: HOLDERS.map((place) => ({ epoch: 1, votes: place !== 3, record: 0, copied: [], openRounds: [], lostRecords: false })),
      claimants: changesEpoch ? [asking(1), asking(2)] : [{ phase: 'idle', epoch: 1, grants: [] }, { phase: 'idle', epoch: 1, grants: [] }],
      asks: changesEpoch ? [...asksOf(1, 1), ...asksOf(2, 2)] : [],
      leasesOver: false,
      restartsLeft: restarts
    },
    next: (state) => [...claimantSteps(state, rules), ...messageSteps(state), ...holderSteps(state, rules, changesEpoch)],
    check: (state) => state.claimants.every((claimant) => claimant.phase === 'won') ? 'both duplicates ran' : undefined
  }
}

function change (state: ClaimState, action: string, edit: (copy: ClaimState) => void): Step {
  const copy = JSON.parse(JSON.stringify(state)) as ClaimState
  edit(copy)
  copy.asks.sort()
  return { action, state: copy }
}

function groupOf (epoch: number): readonly number[] {
  return epoch === 1 ? FORMER_GROUP : CURRENT_GROUP
}

function asking (epoch: 1 | 2): Claimant {
  return { phase: 'asking', epoch, grants: [] }
}

function asksOf (name: number, epoch: number): string[] {
  return groupOf(epoch).map((holder) => `${name}>${holder}`)
}

function claimantSteps (state: ClaimState, rules: ClaimRules): Step[] {
  const steps: Step[] = []
  for (const [index, claimant] of state.claimants.entries()) {
    const name = index + 1
    if (claimant.phase === 'idle') {
      steps.push(change(state, `claimant ${name} asks`, (copy) => {
        copy.claimants[index] = asking(1)
        copy.asks.push(...asksOf(name, 1))
      }))
    }
    if (claimant.phase !== 'asking') continue
    const mayDecide = claimant.epoch === 1 ? !state.leasesOver : state.leasesOver
    if (mayDecide && claimant.grants.length >= rules.majority) {
      steps.push(change(state, `claimant ${name} runs`, (copy) => { (copy.claimants[index] as Claimant).phase = 'won' }))
    }
    if (!state.holders.some((holder) => holder.openRounds.includes(index))) continue
    steps.push(change(state, `claimant ${name} gives up`, (copy) => {
      (copy.claimants[index] as Claimant).phase = 'lost'
      copy.asks = copy.asks.filter((ask) => !ask.startsWith(`${name}>`))
    }))
  }
  return steps
}

function messageSteps (state: ClaimState): Step[] {
  return state.asks.map((ask) => change(state, `ask ${ask} arrives`, (copy) => {
    const [name, place] = ask.split('>').map(Number) as [number, number]
    copy.asks = copy.asks.filter((other) => other !== ask)
    const holder = copy.holders[place] as Holder
    const claimant = copy.claimants[name - 1] as Claimant
    if (!holder.votes || holder.epoch !== claimant.epoch || (holder.record !== 0 && holder.record !== name)) return
    holder.record = name
    claimant.grants = [...claimant.grants, place].sort()
  }))
}

function holderSteps (state: ClaimState, rules: ClaimRules, changesEpoch: boolean): Step[] {
  const steps: Step[] = []
  if (changesEpoch && !state.leasesOver) steps.push(change(state, 'leases of epoch 1 are over', (copy) => { copy.leasesOver = true }))
  for (const place of HOLDERS) {
    const holder = state.holders[place] as Holder
    if (changesEpoch && holder.epoch === 1) {
      steps.push(change(state, `holder ${place} learns of epoch 2`, (copy) => {
        const moved = copy.holders[place] as Holder
        moved.epoch = 2
        if (moved.lostRecords) moved.copied = []
      }))
    }
    if (state.restartsLeft > 0 && holder.votes && place !== 0) steps.push(restart(state, place, rules))
    for (const source of HOLDERS) if (mayCopy(state, rules, place, source)) steps.push(copyFrom(state, rules, place, source))
  }
  return steps
}

function restart (state: ClaimState, place: number, rules: ClaimRules): Step {
  const open = state.claimants.flatMap((claimant, index) => claimant.phase === 'asking' ? [index] : [])
  return change(state, `holder ${place} restarts`, (copy) => {
    const { epoch } = copy.holders[place] as Holder
    copy.holders[place] = {
      epoch, votes: !rules.copiesBeforeVoting, record: 0, copied: [], openRounds: rules.silentAfterRestart ? open : [], lostRecords: true
    }
    copy.restartsLeft -= 1
  })
}

function mayCopy (state: ClaimState, rules: ClaimRules, place: number, source: number): boolean {
  const holder = state.holders[place] as Holder
  const other = state.holders[source] as Holder
  if (source === place || holder.votes || !other.votes || holder.copied.includes(source)) return false
  if (holder.openRounds.some((index) => state.claimants[index]?.phase === 'asking')) return false
  if (!groupOf(holder.epoch).includes(place)) return false
  if (holder.epoch === 2 && rules.newMemberWaitsForLeases && !state.leasesOver) return false
  if (!holder.lostRecords) return FORMER_GROUP.includes(source)
  return groupOf(holder.epoch).includes(source) && other.epoch >= holder.epoch
}

function copyFrom (state: ClaimState, rules: ClaimRules, place: number, source: number): Step {
  return change(state, `holder ${place} copies from ${source}`, (copy) => {
    const holder = copy.holders[place] as Holder
    const { record } = copy.holders[source] as Holder
    if (record !== 0) holder.record = rules.copiesGrantNothing ? -1 : holder.record || record
    holder.copied = [...holder.copied, source].sort()
    if (holder.copied.length >= COPIES_NEEDED) holder.votes = true
  })
}
