import { createHash, hash } from 'node:crypto'
import { canonicalJson } from './canonical-json.ts'

const BUCKET_COUNT = 256
/** Items digested before yielding to the event loop. */
const ITEMS_PER_BATCH = 2_000
const FNV_OFFSET_BASIS = 2_166_136_261
const FNV_PRIME = 16_777_619

/** One item of a section with its name and the digest of its canonical JSON. */
export interface IndexedItem<Item> {
  readonly name: string
  readonly digest: string
  readonly item: Item
}

/** Items added or replaced (`put`) and names of items removed (`remove`). */
export interface SectionDifference<Item> {
  readonly put: readonly Item[]
  readonly remove: readonly string[]
}

interface Bucket<Item> {
  readonly items: readonly IndexedItem<Item>[]
  readonly digest: string
}

/**
 * Immutable index of the items of one section by name, hashed into buckets that each have a digest.
 * Applying a difference copies only the affected buckets, so its cost does not grow with the section.
 */
export class SectionIndex<Item> {
  readonly digest: string
  private list: readonly Item[] | undefined

  private constructor (private readonly nameOf: (item: Item) => string, private readonly buckets: readonly Bucket<Item>[]) {
    this.digest = combineDigests(buckets.map((bucket) => bucket.digest))
  }

  static create<Item> (nameOf: (item: Item) => string, items: readonly Item[]): SectionIndex<Item> {
    return SectionIndex.fromIndexedItems(nameOf, items.map((item) => toIndexed(nameOf(item), item)))
  }

  /** Like `create`, but yields to the event loop after each `ITEMS_PER_BATCH` items. */
  static async createInBatches<Item> (nameOf: (item: Item) => string, items: readonly Item[]): Promise<SectionIndex<Item>> {
    const indexed: IndexedItem<Item>[] = []
    for (let start = 0; start < items.length; start += ITEMS_PER_BATCH) {
      for (const item of items.slice(start, start + ITEMS_PER_BATCH)) indexed.push(toIndexed(nameOf(item), item))
      await new Promise((resolve) => setImmediate(resolve))
    }
    return SectionIndex.fromIndexedItems(nameOf, indexed)
  }

  private static fromIndexedItems<Item> (nameOf: (item: Item) => string, items: readonly IndexedItem<Item>[]): SectionIndex<Item> {
    const groups: IndexedItem<Item>[][] = Array.from({ length: BUCKET_COUNT }, () => [])
    for (const indexed of items) groups[bucketIndexOf(indexed.name)]?.push(indexed)
    return new SectionIndex(nameOf, groups.map((group) => toBucket(group)))
  }

  get (name: string): Item | undefined {
    return this.bucket(bucketIndexOf(name)).items.find((indexed) => indexed.name === name)?.item
  }

  /** All items, in an order that depends only on their names. The list is created once and shared. */
  items (): readonly Item[] {
    this.list ??= listItems(this.buckets)
    return this.list
  }

  /** Returns a new index with the difference applied; undefined when the difference removes a name that does not exist here. */
  applyDifference (difference: SectionDifference<Item>): SectionIndex<Item> | undefined {
    const touched = new Map<number, Map<string, IndexedItem<Item>>>()
    for (const name of difference.remove) {
      if (!this.open(touched, name).delete(name)) return undefined
    }
    for (const item of difference.put) {
      const indexed = toIndexed(this.nameOf(item), item)
      this.open(touched, indexed.name).set(indexed.name, indexed)
    }
    const buckets = this.buckets.map((bucket, index) => {
      const changed = touched.get(index)
      return changed === undefined ? bucket : toBucket([...changed.values()])
    })
    return new SectionIndex(this.nameOf, buckets)
  }

  /** Computes the difference from this index to another. Buckets with equal digests are skipped. */
  differenceTo (other: SectionIndex<Item>): SectionDifference<Item> {
    const put: Item[] = []
    const remove: string[] = []
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      const before = this.bucket(index)
      const after = other.bucket(index)
      if (before.digest === after.digest) continue
      put.push(...addedItems(before, after))
      remove.push(...removedNames(before, after))
    }
    return { put, remove }
  }

  private bucket (index: number): Bucket<Item> {
    return this.buckets[index] as Bucket<Item>
  }

  private open (touched: Map<number, Map<string, IndexedItem<Item>>>, name: string): Map<string, IndexedItem<Item>> {
    const index = bucketIndexOf(name)
    const opened = touched.get(index) ?? new Map(this.bucket(index).items.map((indexed) => [indexed.name, indexed]))
    touched.set(index, opened)
    return opened
  }
}

function listItems<Item> (buckets: readonly Bucket<Item>[]): Item[] {
  const list: Item[] = []
  for (const bucket of buckets) {
    for (const indexed of bucket.items) list.push(indexed.item)
  }
  return list
}

function addedItems<Item> (before: Bucket<Item>, after: Bucket<Item>): Item[] {
  const digests = new Map(before.items.map((indexed) => [indexed.name, indexed.digest]))
  return after.items.filter((indexed) => digests.get(indexed.name) !== indexed.digest).map((indexed) => indexed.item)
}

function removedNames<Item> (before: Bucket<Item>, after: Bucket<Item>): string[] {
  const names = new Set(after.items.map((indexed) => indexed.name))
  return before.items.filter((indexed) => !names.has(indexed.name)).map((indexed) => indexed.name)
}

function toIndexed<Item> (name: string, item: Item): IndexedItem<Item> {
  return { name, item, digest: hash('sha256', canonicalJson(item), 'hex') }
}

function toBucket<Item> (items: IndexedItem<Item>[]): Bucket<Item> {
  items.sort((left, right) => left.name < right.name ? -1 : 1)
  return { items, digest: combineDigests(items.map((indexed) => indexed.digest)) }
}

/** FNV-1a over the UTF-16 code units of a name. Digests depend on it, so it must be the same on every machine. */
function bucketIndexOf (name: string): number {
  let value = FNV_OFFSET_BASIS
  for (let index = 0; index < name.length; index += 1) value = Math.imul(value ^ name.charCodeAt(index), FNV_PRIME)
  return (value >>> 0) % BUCKET_COUNT
}

function combineDigests (digests: readonly string[]): string {
  return createHash('sha256').update(digests.join('\n')).digest('hex')
}
