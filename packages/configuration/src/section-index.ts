import { createHash, hash } from 'node:crypto'
import { canonicalJson } from './canonical-json.ts'

const BUCKET_COUNT = 256
/** Items digested between two pauses. */
const ITEMS_PER_STEP = 2_000
const HASH_START = 2_166_136_261
const HASH_FACTOR = 16_777_619

/** One item of a section with its name and the digest of its canonical text. */
export interface IndexedItem<Item> {
  readonly name: string
  readonly digest: string
  readonly item: Item
}

/** Items put in (new or replaced) and names removed. */
export interface SectionDifference<Item> {
  readonly put: readonly Item[]
  readonly remove: readonly string[]
}

interface Bucket<Item> {
  readonly items: readonly IndexedItem<Item>[]
  readonly digest: string
}

/**
 * The items of one section by name, in buckets that carry their own digest.
 * A change copies only the buckets that it touches, so its cost does not grow with the section.
 */
export class SectionIndex<Item> {
  readonly digest: string
  private list: readonly Item[] | undefined

  private constructor (private readonly nameOf: (item: Item) => string, private readonly buckets: readonly Bucket<Item>[]) {
    this.digest = digestTexts(buckets.map((bucket) => bucket.digest))
  }

  static create<Item> (nameOf: (item: Item) => string, items: readonly Item[]): SectionIndex<Item> {
    return SectionIndex.collect(nameOf, items.map((item) => toIndexed(nameOf(item), item)))
  }

  /** As `create`, but lets other work run after each `ITEMS_PER_STEP` items. */
  static async createInSteps<Item> (nameOf: (item: Item) => string, items: readonly Item[]): Promise<SectionIndex<Item>> {
    const indexed: IndexedItem<Item>[] = []
    for (let start = 0; start < items.length; start += ITEMS_PER_STEP) {
      for (const item of items.slice(start, start + ITEMS_PER_STEP)) indexed.push(toIndexed(nameOf(item), item))
      await new Promise((resolve) => setImmediate(resolve))
    }
    return SectionIndex.collect(nameOf, indexed)
  }

  private static collect<Item> (nameOf: (item: Item) => string, items: readonly IndexedItem<Item>[]): SectionIndex<Item> {
    const groups: IndexedItem<Item>[][] = Array.from({ length: BUCKET_COUNT }, () => [])
    for (const indexed of items) groups[bucketOf(indexed.name)]?.push(indexed)
    return new SectionIndex(nameOf, groups.map((group) => toBucket(group)))
  }

  get (name: string): Item | undefined {
    return this.bucket(bucketOf(name)).items.find((indexed) => indexed.name === name)?.item
  }

  /** All items; their order follows from their names alone. The list is made once and shared. */
  items (): readonly Item[] {
    this.list ??= listItems(this.buckets)
    return this.list
  }

  /** A new index with the difference applied; undefined when it removes a name that is not here. */
  change (difference: SectionDifference<Item>): SectionIndex<Item> | undefined {
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

  /** What leads from this index to another; buckets with equal digests are not looked at. */
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
    const index = bucketOf(name)
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
  return { items, digest: digestTexts(items.map((indexed) => indexed.digest)) }
}

/** Bucket of a name: FNV-1a over its UTF-16 units, equal on every machine. */
function bucketOf (name: string): number {
  let value = HASH_START
  for (let index = 0; index < name.length; index += 1) value = Math.imul(value ^ name.charCodeAt(index), HASH_FACTOR)
  return (value >>> 0) % BUCKET_COUNT
}

function digestTexts (texts: readonly string[]): string {
  return createHash('sha256').update(texts.join('\n')).digest('hex')
}
